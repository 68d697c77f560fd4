package entry

// Owns reports whether the entry owns a shard.
func (e *Entry) Owns() bool { return len(e.manager.Owners()) > 0 }
