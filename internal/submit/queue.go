package submit

// issueQueue lists records in the order of issue, which is also the order in
// which their lifetimes end.
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

// pop removes the head. It clears the link, so that a record which is held for
// long does not keep later ones in memory.
func (q *issueQueue) pop() *record {
	r := q.head
	q.head = r.next
	if q.head == nil {
		q.tail = nil
	}
	r.next = nil
	return r
}
