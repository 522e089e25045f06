package measure

func (q *baselineQuery) send(l *leaf) {
	if l == nil {
		q.completeShard()
		return
	}
	c := &baselineCall{query: q, leaf: l}
	q.calls = append(q.calls, c)
	q.entry.sim.result.countBaselineSend()
	q.entry.submit(c)
}

// complete handles the reply or failure of a call and releases its connection.
func (c *baselineCall) complete(ok bool) {
	if c.ended {
		return
	}
	c.ended = true
	if ok && !c.query.finished {
		c.query.coveredShards++
	}
	c.query.entry.release(c.leaf)
	c.query.completeShard()
}

func (q *baselineQuery) completeShard() {
	q.openCalls--
	if q.openCalls == 0 {
		q.finish()
	}
}

// finish records the answer and cancels the calls that have no reply yet.
func (q *baselineQuery) finish() {
	if q.finished {
		return
	}
	q.finished = true
	sim := q.entry.sim
	sim.result.recordAnswer(q.class, q.arrivedAt, sim.Now, q.coveredShards, uint64(sim.size.Shards))
	for _, c := range q.calls {
		c.cancel()
	}
}

func (c *baselineCall) cancel() {
	if c.ended {
		return
	}
	c.ended = true
	if !c.sent {
		return
	}
	e := c.query.entry
	e.sim.network.send(e.zone, c.leaf.zone, c.leaf.index, func() {
		if c.run != nil {
			c.leaf.cancel(c.run)
		}
	})
	e.release(c.leaf)
}
