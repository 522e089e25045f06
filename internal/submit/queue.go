package submit

// issueQueue is a linked list of records in the order of issue, which is also the
// order in which they expire.
type issueQueue struct {
	head, tail *record
}

func (q *issueQueue) push(r *record) {
	if q.tail == nil {
		q.head = r
	} else {
		q.tail.next = r
	}
	q.tail = r
}

// pop removes and returns the head. It clears the link, so that a record that
// awaits Finish for long doesn't keep later ones in memory.
func (q *issueQueue) pop() *record {
	r := q.head
	q.head = r.next
	if q.head == nil {
		q.tail = nil
	}
	r.next = nil
	return r
}
