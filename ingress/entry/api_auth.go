package entry

import (
	"context"
	"net/http"
	"slices"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/base/events"
	"github.com/chicorystand/chicorystand/state/identity"
	"github.com/chicorystand/chicorystand/wire"
)

// allowedRoles is the set of roles that may call an operation.
type allowedRoles []identity.Role

// Roles that the operations of the API accept. A customer has access to its own tasks and requests only.
var (
	administerRoles = allowedRoles{identity.Administrator}
	operateRoles    = allowedRoles{identity.Operator, identity.Administrator}
	readRoles       = allowedRoles{identity.Reader, identity.Operator, identity.Administrator}
	ownDataRoles    = allowedRoles{identity.Reader, identity.Operator, identity.Administrator, identity.Customer}
	submitRoles     = allowedRoles{identity.Operator, identity.Administrator, identity.Customer}
	requestRoles    = allowedRoles{identity.Operator, identity.Administrator, identity.Customer}
)

type callerKey struct{}

// authorize calls next only for callers with one of the roles. Without TLS, which
// the settings permit on loopback only, the caller is a local administrator.
func (e *Entry) authorize(roles allowedRoles, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id, err := e.authenticate(r)
		if err == nil && !slices.Contains(roles, id.Role) {
			err = errkind.New(errkind.PermissionDenied, "role %s may not use %s %s; nothing was done", id.Role, r.Method, r.URL.Path)
		}
		if err == nil {
			err = bindCustomer(id, r)
		}
		if err != nil {
			e.logAccessDenied(err)
			writeError(w, err)
			return
		}
		next(w, r.WithContext(context.WithValue(r.Context(), callerKey{}, id)))
	}
}

func (e *Entry) authenticate(r *http.Request) (identity.Identity, error) {
	if id, ok := identity.FromConnectionState(r.TLS); ok {
		return id, nil
	}
	if e.cfg.RequireIdentity {
		return identity.Identity{}, errkind.New(errkind.Unauthenticated, "a client certificate with a role is required; nothing was done")
	}
	return identity.Identity{Role: identity.Administrator, Name: "local"}, nil
}

// bindCustomer sets the customer header to the authenticated customer's name and rejects
// requests that name another customer.
func bindCustomer(id identity.Identity, r *http.Request) error {
	if id.Role != identity.Customer {
		return nil
	}
	if named := r.Header.Get(HeaderCustomer); named != "" && named != id.Name {
		return errkind.New(errkind.PermissionDenied, "customer %q may not act as %q; nothing was done", id.Name, named)
	}
	r.Header.Set(HeaderCustomer, id.Name)
	return nil
}

func (e *Entry) logAccessDenied(err error) {
	events.AccessDenied.Log(e.cfg.Log).Str("kind", errkind.Of(err).String()).Err(err).Send()
}

func callerOf(r *http.Request) identity.Identity {
	id, _ := r.Context().Value(callerKey{}).(identity.Identity)
	return id
}

// customerScope returns the customer that a call is limited to: an authenticated
// customer's own name, or the customer that an operator requested.
func customerScope(r *http.Request, requested string) (string, error) {
	id := callerOf(r)
	if id.Role != identity.Customer {
		return requested, nil
	}
	if requested != "" && requested != id.Name {
		return "", errkind.New(errkind.PermissionDenied, "customer %q may not act for %q; nothing was done", id.Name, requested)
	}
	return id.Name, nil
}

// authorizePeer rejects messages that the role of the connection's certificate may not
// send. Connections without TLS are not restricted.
func authorizePeer(p *wire.Peer, m wire.Message) error {
	if p == nil {
		return nil
	}
	id, ok := identity.FromConn(p.Conn())
	if !ok || id.Role == identity.Entry {
		return nil
	}
	switch msg := m.(type) {
	case *wire.Locate, *wire.Heartbeat, *wire.TaskEvent, *wire.Drain:
		return nil
	case *wire.Announce:
		if msg.VM == id.Name && msg.Zone == id.Zone {
			return nil
		}
		return errkind.New(errkind.PermissionDenied, "the certificate of %s in %s does not allow it to announce VM %s in %s", id.Name, id.Zone, msg.VM, msg.Zone)
	}
	return errkind.New(errkind.PermissionDenied, "role %s may not send message type %d", id.Role, m.Type())
}
