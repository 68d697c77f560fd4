// Package confsync implements the two-phase configuration protocol. A change is
// written as pending, every registered entry prepares for it, and the commit
// that moves it to current accepts it. Follower and Proposer are state machines
// over a table and a clock; the caller runs their loops.
package confsync

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/chicorystand/chicorystand/base/errkind"
	"github.com/chicorystand/chicorystand/control/plan"
	"github.com/chicorystand/chicorystand/state/store"
)

// Keys in the table service.
const (
	KeyCurrent = "config/current"
	KeyPending = "config/pending"
	// KeyGenerations holds the current and pending generations. It is written together with the
	// other two rows and polled instead of them because it is small.
	KeyGenerations     = "config/head"
	RegistrationPrefix = "entry/"
)

// Timing of the protocol.
const (
	// LeaseTTL is how long an entry admits requests after the start of its last successful read.
	LeaseTTL = 10 * time.Second
	// PreparedTTL replaces LeaseTTL while a change is pending. With a poll every
	// 250 ms it keeps the time from acceptance to "in force" under 3 s.
	PreparedTTL = 2 * time.Second
	// PollInterval is the time between two reads of the configuration, PendingPollInterval
	// that while a change is pending.
	PollInterval        = 2 * time.Second
	PendingPollInterval = 250 * time.Millisecond
	// RegistrationTTL is how long an entry admits requests without a renewed
	// registration. It is shorter than RegistrationRemoval, after which other entries
	// remove the row and no longer wait for the entry.
	RegistrationTTL     = 50 * time.Second
	RegistrationRemoval = 60 * time.Second
	// AdoptAfter is how long a change may be pending before entries other than the
	// proposer try to accept it.
	AdoptAfter = 5 * time.Second
)

// maxEntries limits the registrations read by one scan.
const maxEntries = 100

// Registration is the value of an entry's row, RegistrationPrefix + ID.
type Registration struct {
	//lint:ignore U1000 selects the array encoding
	_msgpack struct{} `msgpack:",as_array"`

	ID          string
	Addr        string
	Zone        string
	Incarnation uint64
	// Counter increases with every renewal, so that the content of the row changes.
	Counter uint64
	// Prepared is the highest generation that the entry has prepared for.
	Prepared uint64
	// InForce is the generation in force in the entry.
	InForce uint64
	// Members are the registered entries that the entry asks for lease extensions in a store outage.
	Members []string
}

// DecodeRegistration decodes a registration row.
func DecodeRegistration(r store.Row) (Registration, error) {
	var reg Registration
	err := msgpack.Unmarshal(r.Value, &reg)
	return reg, errkind.Wrap(errkind.Internal, err, "decode registration %s", r.Key)
}

func decodeDocument(r store.Row) (plan.Document, error) {
	var doc plan.Document
	err := msgpack.Unmarshal(r.Value, &doc)
	return doc, errkind.Wrap(errkind.Internal, err, "decode configuration row %s", r.Key)
}

// Fingerprint identifies the content of a registration row. The version alone does not:
// it restarts at 1 when an entry restarts after its row was deleted.
func Fingerprint(r store.Row) uint64 { return xxhash.Sum64(r.Value) + r.Version }

// generations is the value of the row KeyGenerations.
type generations struct {
	//lint:ignore U1000 selects the array encoding
	_msgpack struct{} `msgpack:",as_array"`

	Current, Pending uint64
}

// configState is the content of the configuration rows as returned by one read.
type configState struct {
	current, pending               plan.Document
	currentVersion, pendingVersion uint64
	generationsVersion             uint64
}

func decodeConfigState(rows []store.Row) (configState, error) {
	var s configState
	for _, r := range rows {
		if r.Key == KeyGenerations {
			s.generationsVersion = r.Version
			continue
		}
		doc, err := decodeDocument(r)
		if err != nil {
			return configState{}, err
		}
		switch r.Key {
		case KeyCurrent:
			s.current, s.currentVersion = doc, r.Version
		case KeyPending:
			s.pending, s.pendingVersion = doc, r.Version
		}
	}
	return s, nil
}

func sameContent(a, b plan.Document) bool {
	return slices.Equal(a.Plans, b.Plans) && slices.Equal(a.Limits, b.Limits) && slices.Equal(a.EvacuatedZones, b.EvacuatedZones)
}
