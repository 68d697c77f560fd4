package intake

import "time"

// Options are the parts of a machine that requests may take.
type Options struct {
	// BodyPercent and ConnectionPercent are the parts of the machine's memory for bodies and headers, and for connections.
	BodyPercent, ConnectionPercent int
	// SmallBody is the size of the largest small body, SmallPercent the part of the memory of bodies that only those get.
	SmallBody    int64
	SmallPercent int
	// ReceiveBuffer is the size of the receive buffer of a connection.
	ReceiveBuffer int64
	// Pace is the pace that a client has to meet while memory is free, ScarcePace while it is scarce.
	Pace, ScarcePace Pace
}

// Pace is the slowest progress of a body that is waited for.
type Pace struct {
	// Stall is the longest time without a byte.
	Stall time.Duration
	// Grace is the time for a body of any size; BytesPerSecond extends it by what was received.
	Grace          time.Duration
	BytesPerSecond int64
}

// Limits are the limits of one process. 0 stands for no limit.
type Limits struct {
	// Bytes is the sum for bodies and headers over all connections, LargeBytes that for bodies that are not small.
	Bytes, LargeBytes int64
	SmallBody         int64
	// Connections is the number of open connections.
	Connections      int
	Pace, ScarcePace Pace
}

const (
	percent = 100
	// connectionBytes is what a connection takes while its request waits for the store: buffers, goroutines and headers of
	// both connections. Go 1.26 takes 18 KiB for an idle connection.
	connectionBytes = 32 << 10
	// kernelFactor is the ratio of the kernel's limit of a receive buffer, which counts its own structures too, to the size asked for.
	kernelFactor = 2
	// filesReserve is the number of descriptors that the platform reserves for files.
	filesReserve = 200
	// maxOwnDescriptors and ownDescriptorsPart are for the store's change feed, the members and the probes: a quarter of the
	// descriptors on a small machine.
	maxOwnDescriptors, ownDescriptorsPart = 256, 4
	// descriptorsPerConnection counts the connection to the store that a request may open.
	descriptorsPerConnection = 2
	// minConnections is the number of connections that every machine serves.
	minConnections = 16
)

// Derive returns the limits of a machine with the given memory in bytes and number of descriptors; 0 stands for an unknown one.
func Derive(memory int64, descriptors int, o Options) Limits {
	l := Limits{SmallBody: o.SmallBody, Pace: o.Pace, ScarcePace: o.ScarcePace}
	if memory > 0 {
		l.Bytes = memory * int64(o.BodyPercent) / percent
		l.LargeBytes = l.Bytes * int64(percent-o.SmallPercent) / percent
		l.Connections = int(memory * int64(o.ConnectionPercent) / percent / (connectionBytes + kernelFactor*o.ReceiveBuffer))
		l.Connections = max(l.Connections, minConnections)
	}
	if descriptors <= 0 {
		return l
	}
	free := max(0, descriptors-filesReserve)
	free -= min(maxOwnDescriptors, free/ownDescriptorsPart)
	byDescriptors := max(minConnections, free/descriptorsPerConnection)
	if l.Connections == 0 || byDescriptors < l.Connections {
		l.Connections = byDescriptors
	}
	return l
}

// Limited reports whether there is any limit.
func (l Limits) Limited() bool { return l.Bytes > 0 || l.Connections > 0 }

// meets reports whether a body meets the pace.
func (p Pace) meets(age, sinceProgress time.Duration, received int64) bool {
	extension := time.Duration(float64(received) / float64(p.BytesPerSecond) * float64(time.Second))
	return sinceProgress <= p.Stall && age <= p.Grace+extension
}
