package message

// Hit is one match of a query.
type Hit struct {
	Key   string  `msgpack:"k"`
	Score float64 `msgpack:"s"`
}
