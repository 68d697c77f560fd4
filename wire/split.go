package wire

// maxOrdersBytes bounds the body of the messages into which Split divides orders. It is far below MaxBody,
// so that each message is written within writeTimeout on a link of 2.1 Mbit/s.
const maxOrdersBytes = 256 << 10

// Upper bounds in bytes of the encoded messages and orders, without the contents of their strings.
const (
	maxOrdersHeader   = 64
	maxStartHeader    = 40
	maxStopHeader     = 16
	maxThrottleHeader = 24
)

// encodedBound returns an upper bound of the encoded size in bytes.
func (s *StartOrder) encodedBound() int {
	return maxStartHeader + len(s.Task) + len(s.Specification) + len(s.Checkpoint) + len(s.Ticket)
}

func (s *StopOrder) encodedBound() int { return maxStopHeader + len(s.Task) }

func (o *ThrottleOrder) encodedBound() int { return maxThrottleHeader + len(o.Task) }

// Split divides orders into messages of at most maxOrdersBytes: first the stops, then the throttles and the
// starts, each in their order. A single larger order gets a message of its own. Without orders there is one message.
func (m *Orders) Split() []*Orders {
	s := orderSplitter{whole: m}
	s.open()
	for _, o := range m.Stops {
		p := s.partFor(o.encodedBound())
		p.Stops = append(p.Stops, o)
	}
	for _, o := range m.Throttles {
		p := s.partFor(o.encodedBound())
		p.Throttles = append(p.Throttles, o)
	}
	for _, o := range m.Starts {
		p := s.partFor(o.encodedBound())
		p.Starts = append(p.Starts, o)
	}
	return s.parts
}

// orderSplitter collects the messages into which orders are divided.
type orderSplitter struct {
	whole *Orders
	parts []*Orders
	// size bounds the encoded size of the last part in bytes, empty is set while it has no orders.
	size  int
	empty bool
}

// open adds a message without orders.
func (s *orderSplitter) open() {
	part := *s.whole
	part.Starts, part.Stops, part.Throttles = nil, nil, nil
	s.parts = append(s.parts, &part)
	s.size, s.empty = maxOrdersHeader+len(part.Executor), true
}

// partFor returns the message for an order of the given size in bytes.
func (s *orderSplitter) partFor(size int) *Orders {
	if !s.empty && s.size+size > maxOrdersBytes {
		s.open()
	}
	s.size, s.empty = s.size+size, false
	return s.parts[len(s.parts)-1]
}
