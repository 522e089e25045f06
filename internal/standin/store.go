package standin

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	medlarv1 "github.com/medlarswitch/medlarswitch/gen/medlar/v1"
)

// MaxValueBytes is the maximum size of a value in the platform's store.
const MaxValueBytes = 1 << 20

type object struct {
	value   []byte
	version uint64
}

// Store is an in-memory object store with versions, conditional updates and
// watches. It is safe for concurrent use.
type Store struct {
	faults StoreFaults

	mu      sync.Mutex
	objects map[string]object
	version uint64
	// changed is closed and replaced at each write.
	changed chan struct{}
	calls   map[string]uint64 // by method
	writers map[string]string // team by key prefix
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		objects: make(map[string]object),
		changed: make(chan struct{}),
		calls:   make(map[string]uint64),
		writers: make(map[string]string),
	}
}

// Restrict allows only the given team to write keys with a prefix.
func (s *Store) Restrict(prefix, team string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writers[prefix] = team
}

// Get implements the ObjectStore service.
func (s *Store) Get(ctx context.Context, req *connect.Request[medlarv1.GetRequest]) (*connect.Response[medlarv1.GetResponse], error) {
	if err := s.startCall(ctx, "get"); err != nil {
		return nil, err
	}
	return connect.NewResponse(s.read(req.Msg.GetKey())), nil
}

// Put implements the ObjectStore service.
func (s *Store) Put(ctx context.Context, req *connect.Request[medlarv1.PutRequest]) (*connect.Response[medlarv1.PutResponse], error) {
	if err := s.startCall(ctx, "put"); err != nil {
		return nil, err
	}
	version, err := s.write(req.Msg)
	if err != nil {
		return nil, err
	}
	if s.faults.takeLostReply() {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("reply lost after the write was applied"))
	}
	return connect.NewResponse(&medlarv1.PutResponse{Version: version}), nil
}

// List implements the ObjectStore service.
func (s *Store) List(ctx context.Context, req *connect.Request[medlarv1.ListRequest]) (*connect.Response[medlarv1.ListResponse], error) {
	if err := s.startCall(ctx, "list"); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.objects {
		if strings.HasPrefix(key, req.Msg.GetPrefix()) {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return connect.NewResponse(&medlarv1.ListResponse{Keys: keys}), nil
}

// Watch implements the ObjectStore service.
func (s *Store) Watch(ctx context.Context, req *connect.Request[medlarv1.WatchRequest]) (*connect.Response[medlarv1.GetResponse], error) {
	if err := s.startCall(ctx, "watch"); err != nil {
		return nil, err
	}
	timeout := time.NewTimer(time.Duration(req.Msg.GetWaitMs()) * time.Millisecond)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		changed := s.changed
		s.mu.Unlock()
		got := s.read(req.Msg.GetKey())
		if got.GetVersion() != req.Msg.GetAfterVersion() {
			return connect.NewResponse(got), nil
		}
		select {
		case <-changed:
		case <-timeout.C:
			return connect.NewResponse(got), nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		if err := s.faults.checkUp(); err != nil {
			return nil, err
		}
	}
}

// Calls returns how often each method was called.
func (s *Store) Calls() map[string]uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]uint64, len(s.calls))
	for name, n := range s.calls {
		out[name] = n
	}
	return out
}

func (s *Store) startCall(ctx context.Context, method string) error {
	s.mu.Lock()
	s.calls[method]++
	s.mu.Unlock()
	if err := s.faults.waitDelay(ctx); err != nil {
		return err
	}
	return s.faults.checkUp()
}

func (s *Store) read(key string) *medlarv1.GetResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[key]
	return &medlarv1.GetResponse{Found: ok, Value: o.value, Version: o.version}
}

func (s *Store) write(req *medlarv1.PutRequest) (uint64, error) {
	if len(req.GetValue()) > MaxValueBytes {
		return 0, connect.NewError(connect.CodeInvalidArgument, errors.Errorf("value of %d bytes exceeds %d", len(req.GetValue()), MaxValueBytes))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for prefix, team := range s.writers {
		if strings.HasPrefix(req.GetKey(), prefix) && req.GetTeam() != team {
			return 0, connect.NewError(connect.CodePermissionDenied, errors.Errorf("team %q may not write %q", req.GetTeam(), req.GetKey()))
		}
	}
	if have := s.objects[req.GetKey()].version; have != req.GetIfVersion() {
		return 0, connect.NewError(connect.CodeFailedPrecondition, errors.Errorf("%q has version %d, not %d", req.GetKey(), have, req.GetIfVersion()))
	}
	s.version++
	s.objects[req.GetKey()] = object{value: req.GetValue(), version: s.version}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.version, nil
}
