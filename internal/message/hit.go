package message

// Hit is one record that matches a query.
type Hit struct {
	Key   string  `msgpack:"k"`
	Score float64 `msgpack:"s"`
}
