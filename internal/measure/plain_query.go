package measure

func (q *plainQuery) send(l *leaf) {
	if l == nil {
		q.decided()
		return
	}
	c := &plainCall{query: q, leaf: l}
	q.calls = append(q.calls, c)
	q.sender.sim.result.plainSend()
	q.sender.submit(c)
}

// end takes the reply or failure of a call and frees its connection.
func (c *plainCall) end(ok bool) {
	if c.ended {
		return
	}
	c.ended = true
	if ok && !c.query.done {
		c.query.covered++
	}
	c.query.sender.release(c.leaf)
	c.query.decided()
}

func (q *plainQuery) decided() {
	q.open--
	if q.open == 0 {
		q.finish()
	}
}

// finish answers and closes the connections of what is still open.
func (q *plainQuery) finish() {
	if q.done {
		return
	}
	q.done = true
	sim := q.sender.sim
	sim.result.answered(q.class, q.arrived, sim.Now, q.covered, uint64(sim.size.Shards))
	for _, c := range q.calls {
		c.abandon()
	}
}

func (c *plainCall) abandon() {
	if c.ended {
		return
	}
	c.ended = true
	if !c.sent {
		return
	}
	s := c.query.sender
	s.sim.network.send(s.zone, c.leaf.zone, c.leaf.index, func() {
		if c.run != nil {
			c.leaf.cancel(c.run)
		}
	})
	s.release(c.leaf)
}
