package dispatch

// Settled reports whether the state of all executors that can be reached is known under this owner's epoch.
func (o *Owner) Settled() bool {
	for _, n := range o.executors {
		if n.connected && !n.gone && !n.leaseExpired && !n.adopted {
			return false
		}
	}
	return true
}
