package editor

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	medlarv1 "github.com/medlarswitch/medlarswitch/gen/medlar/v1"
	"github.com/medlarswitch/medlarswitch/gen/medlar/v1/medlarv1connect"
	"github.com/medlarswitch/medlarswitch/internal/platform"
	"github.com/medlarswitch/medlarswitch/internal/standin"
)

// operator is one operator's path to a store, with faults of its own.
type operator struct {
	*standin.Store
	*Editor
	// giveUp ends the operator's edit, as an interrupt of medlarctl does.
	giveUp context.CancelFunc
	ctx    context.Context

	mu     sync.Mutex
	calls  map[string]int
	faults map[string]fault
	// delayed applies a write that the store still holds back.
	delayed func()
}

// fault happens to one call, named as "put manifest 1". Without an error the
// call goes on as usual; apply carries out a write.
type fault func(o *operator, ctx context.Context, apply func()) error

// newOperator returns an operator of a store. Calls of the fake end with it.
func newOperator(t *testing.T, store *standin.Store, team string) *operator {
	o := &operator{Store: store, calls: map[string]int{}}
	mux := http.NewServeMux()
	mux.Handle(medlarv1connect.NewObjectStoreHandler(o))
	server := httptest.NewServer(mux)
	o.Editor = New(platform.NewClient(server.URL, team), team)
	o.ctx, o.giveUp = context.WithCancel(context.Background())
	t.Cleanup(func() { o.giveUp(); server.Close() })
	return o
}

func (o *operator) Get(ctx context.Context, req *connect.Request[medlarv1.GetRequest]) (*connect.Response[medlarv1.GetResponse], error) {
	if err := o.fault(ctx, "get", req.Msg.GetKey(), nil); err != nil {
		return nil, err
	}
	return o.Store.Get(ctx, req)
}

func (o *operator) Put(ctx context.Context, req *connect.Request[medlarv1.PutRequest]) (*connect.Response[medlarv1.PutResponse], error) {
	apply := func() { _, _ = o.Store.Put(context.Background(), req) }
	if err := o.fault(ctx, "put", req.Msg.GetKey(), apply); err != nil {
		return nil, err
	}
	return o.Store.Put(ctx, req)
}

func (o *operator) fault(ctx context.Context, method, key string, apply func()) error {
	kind, _, _ := strings.Cut(key, "/")
	o.mu.Lock()
	name := method + " " + kind
	o.calls[name]++
	f := o.faults[fmt.Sprintf("%s %d", name, o.calls[name])]
	o.mu.Unlock()
	if f == nil {
		return nil
	}
	return f(o, ctx, apply)
}

// inject sets the faults; calls count from now.
func (o *operator) inject(faults map[string]fault) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.faults, o.calls = faults, map[string]int{}
}

func (o *operator) delay(apply func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.delayed = apply
}

func (o *operator) applyDelayed() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.delayed != nil {
		o.delayed()
	}
}

func refuse(*operator, context.Context, func()) error {
	return connect.NewError(connect.CodeUnavailable, errors.New("503"))
}

// forbid refuses a write for good; a try again would be accepted, so that the
// test sees it.
func forbid(*operator, context.Context, func()) error {
	return connect.NewError(connect.CodePermissionDenied, errors.New("403"))
}

func lose(_ *operator, _ context.Context, apply func()) error {
	apply()
	panic(http.ErrAbortHandler)
}

// hold drops the connection and keeps the write for arrive.
func hold(o *operator, _ context.Context, apply func()) error {
	o.delay(apply)
	panic(http.ErrAbortHandler)
}

func arrive(o *operator, _ context.Context, _ func()) error {
	o.applyDelayed()
	return nil
}

// down drops the connection; the operator does not wait for the store.
func down(o *operator, _ context.Context, _ func()) error {
	o.giveUp()
	panic(http.ErrAbortHandler)
}

// slow answers nothing and holds the write until the operator has given up.
func slow(o *operator, ctx context.Context, apply func()) error {
	o.delay(apply)
	o.giveUp()
	<-ctx.Done()
	return ctx.Err()
}

const zonesText = "kind = \"zones\"\n[[zone]]\nname = \"z\"\nregion = \"r\"\nstate = \"in\"\n"

func indexText(index string, port int) []byte {
	return fmt.Appendf(nil, "kind = \"index\"\nindex = %[1]q\npartition_generation = 1\n[limits]\nslots = 2\nconnections = 25\nrun_limit = \"2s\"\n"+
		"[[shard]]\nname = \"%[1]s-0\"\nweight = 1\n[[shard.leaf]]\nname = \"%[1]s-0-a\"\nzone = \"z\"\naddress = \"127.0.0.1:%[2]d\"\n", index, port)
}

// put edits a section on top of the current document.
func (o *operator) put(t *testing.T, section string, text []byte) uint64 {
	doc, err := o.Read(o.ctx)
	assert.NilError(t, err)
	generation, err := o.Apply(o.ctx, doc, o.NewEdit(doc, section, text))
	assert.NilError(t, err)
	return generation
}

// document returns a store of generation 3 with two indexes, and an operator.
func document(t *testing.T) (*standin.Store, *operator) {
	store := standin.NewStore()
	first := newOperator(t, store, "first")
	first.put(t, "zones", []byte(zonesText))
	first.put(t, "index.a", indexText("a", 7001))
	first.put(t, "index.b", indexText("b", 7002))
	return store, first
}
