// Package identity authenticates processes, operators and customers with mutual
// TLS. In a certificate's subject, the organizational unit is the role, the
// locality the availability zone, and the common name the name.
package identity

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"slices"
	"sync"

	"github.com/chicorystand/chicorystand/base/errkind"
)

// Role states what the holder of a certificate may do.
type Role string

// Roles. Reader, Operator and Administrator form an order of increasing rights.
const (
	Entry         Role = "entry"
	Agent         Role = "agent"
	Reader        Role = "reader"
	Operator      Role = "operator"
	Administrator Role = "administrator"
	Customer      Role = "customer"
)

var roles = []Role{Entry, Agent, Reader, Operator, Administrator, Customer}

// Identity is the authenticated subject of a certificate.
type Identity struct {
	Role Role
	// Name is the id of a process, or the name of an operator or customer.
	Name string
	// Zone is the availability zone of a process; empty for people and customers.
	Zone string
}

// maxNameLen limits the length of the name in a certificate, in bytes.
const maxNameLen = 128

// FromCertificate returns the identity in a verified certificate, or errkind.Unauthenticated.
func FromCertificate(c *x509.Certificate) (Identity, error) {
	id := Identity{Name: c.Subject.CommonName}
	if len(c.Subject.OrganizationalUnit) == 1 {
		id.Role = Role(c.Subject.OrganizationalUnit[0])
	}
	if len(c.Subject.Locality) == 1 {
		id.Zone = c.Subject.Locality[0]
	}
	if !slices.Contains(roles, id.Role) || id.Name == "" || len(id.Name) > maxNameLen {
		return Identity{}, errkind.New(errkind.Unauthenticated, "certificate subject has no known role or no valid name")
	}
	return id, nil
}

// FromConnectionState returns the identity of the peer of a TLS connection.
func FromConnectionState(s *tls.ConnectionState) (Identity, bool) {
	if s == nil || len(s.PeerCertificates) == 0 {
		return Identity{}, false
	}
	id, err := FromCertificate(s.PeerCertificates[0])
	return id, err == nil
}

// FromConn returns the identity of the peer of a connection, and false for a connection
// without TLS.
func FromConn(c net.Conn) (Identity, bool) {
	t, ok := c.(*tls.Conn)
	if !ok {
		return Identity{}, false
	}
	s := t.ConnectionState()
	return FromConnectionState(&s)
}

// Files names the PEM files of a process.
type Files struct{ Cert, Key, CA string }

// Source holds a process's certificate and the trusted certificate authority, and
// reloads them on request. It is safe for concurrent use.
type Source struct {
	files Files

	mu    sync.RWMutex
	cert  tls.Certificate
	roots *x509.CertPool
	// reloads counts the successful calls of Reload.
	reloads uint64
	// peers holds the open connections with the certificates of their peers.
	peers map[*limitedConn]verifiedPeer
}

// Load returns a source with the certificates read from files.
func Load(files Files) (*Source, error) {
	s := &Source{files: files, peers: make(map[*limitedConn]verifiedPeer)}
	return s, s.Reload()
}

// Reload reads the files again and closes the connections of peers that the new certificate authority does
// not confirm. On an error, the previous certificates stay in use.
func (s *Source) Reload() error {
	cert, err := tls.LoadX509KeyPair(s.files.Cert, s.files.Key)
	if err != nil {
		return errkind.Wrap(errkind.InvalidArgument, err, "load certificate %s", s.files.Cert)
	}
	ca, err := os.ReadFile(s.files.CA)
	if err != nil {
		return errkind.Wrap(errkind.InvalidArgument, err, "read certificate authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(ca) {
		return errkind.New(errkind.InvalidArgument, "certificate authority file %s contains no certificate", s.files.CA)
	}
	for _, c := range s.replace(cert, pool) {
		_ = c.Close()
	}
	return nil
}

// replace puts the certificates into use and returns the connections of peers that they do not confirm.
func (s *Source) replace(cert tls.Certificate, roots *x509.CertPool) []*limitedConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cert, s.roots = cert, roots
	s.reloads++
	var withdrawn []*limitedConn
	for c, p := range s.peers {
		if p.verify(roots) != nil {
			withdrawn = append(withdrawn, c)
		}
	}
	return withdrawn
}

func (s *Source) current() (cert tls.Certificate, roots *x509.CertPool, reloads uint64) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.cert, s.roots, s.reloads
}

// verifiedPeer is the certificate chain that a peer has presented, and its required usage.
type verifiedPeer struct {
	chain []*x509.Certificate
	usage x509.ExtKeyUsage
}

func (p verifiedPeer) verify(roots *x509.CertPool) error {
	opts := x509.VerifyOptions{Roots: roots, Intermediates: x509.NewCertPool(), KeyUsages: []x509.ExtKeyUsage{p.usage}}
	for _, c := range p.chain[1:] {
		opts.Intermediates.AddCert(c)
	}
	_, err := p.chain[0].Verify(opts)
	return err
}

// track keeps an open connection, whose peer was verified after the given number of reloads. It fails if
// there was another reload since. Connections of other types are not tracked.
func (s *Source) track(conn net.Conn, p verifiedPeer, reloads uint64) error {
	c, ok := conn.(*limitedConn)
	if !ok {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reloads != reloads {
		return errkind.New(errkind.Unauthenticated, "the certificates were reloaded during the handshake")
	}
	s.peers[c] = p
	c.onClose(func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.peers, c)
	})
	return nil
}

// ServerConfig returns a configuration that accepts clients whose certificate has one of the roles.
func (s *Source) ServerConfig(allowed ...Role) *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, GetConfigForClient: func(hello *tls.ClientHelloInfo) (*tls.Config, error) {
		cert, pool, reloads := s.current()
		return &tls.Config{
			MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{cert}, ClientCAs: pool,
			ClientAuth: tls.RequireAndVerifyClientCert, SessionTicketsDisabled: true,
			VerifyConnection: func(cs tls.ConnectionState) error {
				if err := checkRole(cs, allowed); err != nil {
					return err
				}
				return s.track(hello.Conn, verifiedPeer{cs.PeerCertificates, x509.ExtKeyUsageClientAuth}, reloads)
			},
		}, nil
	}}
}

// ClientConfig returns a configuration that accepts servers whose certificate has one
// of the roles. Addresses are dynamic, so it verifies the role instead of the host name.
func (s *Source) ClientConfig(allowed ...Role) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _, _ := s.current()
			return &cert, nil
		},
		// VerifyConnection replaces the standard verification, which requires a host name.
		InsecureSkipVerify: true,
		VerifyConnection: func(cs tls.ConnectionState) error {
			_, pool, _ := s.current()
			if err := (verifiedPeer{cs.PeerCertificates, x509.ExtKeyUsageServerAuth}).verify(pool); err != nil {
				return errkind.Wrap(errkind.Unauthenticated, err, "verify server certificate")
			}
			return checkRole(cs, allowed)
		},
	}
}

func checkRole(cs tls.ConnectionState, allowed []Role) error {
	id, err := FromCertificate(cs.PeerCertificates[0])
	if err != nil {
		return err
	}
	if !slices.Contains(allowed, id.Role) {
		return errkind.New(errkind.PermissionDenied, "role %q is not allowed on this connection", id.Role)
	}
	return nil
}
