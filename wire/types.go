package wire

// Type implements Message.
func (*Error) Type() Type { return TypeError }

// Type implements Message.
func (*Ack) Type() Type { return TypeAck }

// Type implements Message.
func (*Locate) Type() Type { return TypeLocate }

// Type implements Message.
func (*LocateReply) Type() Type { return TypeLocateReply }

// Type implements Message.
func (*Announce) Type() Type { return TypeAnnounce }

// Type implements Message.
func (*AnnounceReply) Type() Type { return TypeAnnounceReply }

// Type implements Message.
func (*Heartbeat) Type() Type { return TypeHeartbeat }

// Type implements Message.
func (*Grant) Type() Type { return TypeGrant }

// Type implements Message.
func (*StartTask) Type() Type { return TypeStartTask }

// Type implements Message.
func (*StopTask) Type() Type { return TypeStopTask }

// Type implements Message.
func (*TaskEvent) Type() Type { return TypeTaskEvent }

// Type implements Message.
func (*Request) Type() Type { return TypeRequest }

// Type implements Message.
func (*Response) Type() Type { return TypeResponse }

// Type implements Message.
func (*Resolve) Type() Type { return TypeResolve }

// Type implements Message.
func (*Digest) Type() Type { return TypeDigest }

// Type implements Message.
func (*PullMembers) Type() Type { return TypePullMembers }

// Type implements Message.
func (*Members) Type() Type { return TypeMembers }

// Type implements Message.
func (*ExtendLease) Type() Type { return TypeExtendLease }

// Type implements Message.
func (*ExtendLeaseReply) Type() Type { return TypeExtendLeaseReply }

// Type implements Message.
func (*ConfigPush) Type() Type { return TypeConfigPush }

// Type implements Message.
func (*Submit) Type() Type { return TypeSubmit }

// Type implements Message.
func (*SubmitReply) Type() Type { return TypeSubmitReply }

// Type implements Message.
func (*Cancel) Type() Type { return TypeCancel }

// Type implements Message.
func (*Lookup) Type() Type { return TypeLookup }

// Type implements Message.
func (*LookupReply) Type() Type { return TypeLookupReply }

// Type implements Message.
func (*Drain) Type() Type { return TypeDrain }

// Type implements Message.
func (*Hello) Type() Type { return TypeHello }

// Type implements Message.
func (*ResizeTask) Type() Type { return TypeResizeTask }
