package entry

import (
	"context"
	"time"

	"github.com/chicorystand/chicorystand/control/shard"
	"github.com/chicorystand/chicorystand/wire"
)

// handleOperator handles the messages that the operators' API sends between entries. It
// reports whether it handles m.
func (e *Entry) handleOperator(m wire.Message, reply wire.Reply) bool {
	switch msg := m.(type) {
	case *wire.Explain:
		go e.withOwner(msg.Shard, reply, func(o *shard.Owner) { reply(e.explainLocal(o, msg)) })
	case *wire.ShardStatus:
		go e.withOwner(msg.Shard, reply, func(o *shard.Owner) { reply(e.shardStatusLocal(o)) })
	case *wire.EntryStatus:
		reply(e.status())
	case *wire.ExplainRequest:
		reply(&wire.ExplainRequestReply{Outcomes: e.outcomes.find(msg.Customer, msg.Name)})
	default:
		return false
	}
	return true
}

func (e *Entry) explainLocal(o *shard.Owner, m *wire.Explain) wire.Message {
	r, err := shard.Ask(e.ctx, o, func() (*wire.ExplainReply, error) { return o.Explain(m.Customer, m.ID) })
	if err != nil {
		return wire.ErrorReply(err)
	}
	return r
}

func (e *Entry) shardStatusLocal(o *shard.Owner) wire.Message {
	var r *wire.ShardStatusReply
	if err := o.Do(e.ctx, func() { r = o.Status() }); err != nil {
		return wire.ErrorReply(err)
	}
	r.Owner = e.cfg.ID
	return r
}

// status returns the state of this entry.
func (e *Entry) status() *wire.EntryStatusReply {
	e.mu.Lock()
	ready := e.ready && !e.draining
	e.mu.Unlock()
	m := e.metrics
	return &wire.EntryStatusReply{Entry: e.cfg.ID, Zone: e.cfg.Zone, Ready: ready, ConfigGen: e.config().Generation,
		ConfigAgeMS: m.ConfigReadAge().Milliseconds(), StoreReachable: m.Store.Reachable(),
		StoreResponseAgeMS: m.Store.SinceLastResponse().Milliseconds(), Services: e.outcomes.latencies()}
}

// queryPeers sends m to every connected entry and passes the replies to collect.
func (e *Entry) queryPeers(ctx context.Context, m wire.Message, collect func(id string, r wire.Message, err error)) {
	ctx, cancel := context.WithTimeout(ctx, peerStatusTimeout)
	defer cancel()
	type peerReply struct {
		id  string
		m   wire.Message
		err error
	}
	ch := make(chan peerReply)
	e.mu.Lock()
	n := len(e.peers)
	for id, p := range e.peers {
		go func() {
			r, err := p.Call(ctx, m)
			ch <- peerReply{id, r, err}
		}()
	}
	e.mu.Unlock()
	for range n {
		a := <-ch
		collect(a.id, a.m, a.err)
	}
}

// peerStatusTimeout bounds the wait for replies while a status is collected.
const peerStatusTimeout = time.Second

// refreshGauges updates the gauges that are sums over the shards owned by this entry.
func (e *Entry) refreshGauges(ctx context.Context) {
	m := e.metrics
	doc := e.config()
	m.ConfigGeneration.Set(float64(doc.Generation))
	m.EvacuatedZones.Set(float64(len(doc.EvacuatedZones)))
	var capacity, reserved, used [3]int64
	states := make(map[string]int)
	for _, o := range e.manager.Owners() {
		r, ok := e.shardStatusLocal(o).(*wire.ShardStatusReply)
		if !ok || ctx.Err() != nil {
			continue
		}
		for _, v := range r.VMs {
			for i, p := range [3][3]int64{{v.Capacity.CPU, v.Reserved.CPU, v.Used.CPU}, {v.Capacity.Memory, v.Reserved.Memory, v.Used.Memory},
				{v.Capacity.Accelerators, v.Reserved.Accelerators, v.Used.Accelerators}} {
				capacity[i] += p[0]
				reserved[i] += p[1]
				used[i] += p[2]
			}
		}
		for _, q := range r.Queues {
			for s, n := range q.States {
				states[s] += n
			}
		}
	}
	for i, name := range []string{"cpu_milli", "memory_mebibytes", "accelerators"} {
		m.Capacity.WithLabelValues(name).Set(float64(capacity[i]))
		m.Reserved.WithLabelValues(name).Set(float64(reserved[i]))
		m.Used.WithLabelValues(name).Set(float64(used[i]))
	}
	m.Tasks.Reset()
	for s, n := range states {
		m.Tasks.WithLabelValues(s).Set(float64(n))
	}
}
