package daemon

import (
	"crypto/tls"

	"github.com/chicorystand/chicorystand/state/identity"
)

func (p *Process) serverConfig(roles []identity.Role) *tls.Config {
	if p.Identity == nil {
		return nil
	}
	return p.Identity.ServerConfig(roles...)
}
