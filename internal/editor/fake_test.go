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

// operator is an operator with its own connection to a store, into whose calls
// faults can be injected.
type operator struct {
	*standin.Store
	*Editor
	// giveUp cancels the operator's context, as an interrupt of medlarctl does.
	giveUp context.CancelFunc
	ctx    context.Context

	mu     sync.Mutex
	calls  map[string]int
	faults map[string]fault
	// delayed applies a write that is held back.
	delayed func()
}

// fault is injected into one call, which is named by method, kind of object and
// number: "put manifest 1". If it returns no error, the call proceeds as usual.
// apply performs the write of the call.
type fault func(o *operator, ctx context.Context, apply func()) error

// newOperator returns an operator of a store. Its context is cancelled at the end
// of the test, which ends its calls.
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

// inject sets the faults and restarts the numbering of calls.
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

func replyUnavailable(*operator, context.Context, func()) error {
	return connect.NewError(connect.CodeUnavailable, errors.New("503"))
}

// replyForbidden refuses a write with an error that must not be retried. A retry
// would be accepted, which the test detects.
func replyForbidden(*operator, context.Context, func()) error {
	return connect.NewError(connect.CodePermissionDenied, errors.New("403"))
}

// loseReply applies the write and drops the connection, so that the reply is lost.
func loseReply(_ *operator, _ context.Context, apply func()) error {
	apply()
	panic(http.ErrAbortHandler)
}

// delayWrite drops the connection and delays the write until applyDelayedWrite.
func delayWrite(o *operator, _ context.Context, apply func()) error {
	o.delay(apply)
	panic(http.ErrAbortHandler)
}

func applyDelayedWrite(o *operator, _ context.Context, _ func()) error {
	o.applyDelayed()
	return nil
}

// giveUpDisconnected drops the connection and makes the operator give up.
func giveUpDisconnected(o *operator, _ context.Context, _ func()) error {
	o.giveUp()
	panic(http.ErrAbortHandler)
}

// giveUpUnanswered delays the write, makes the operator give up and sends no reply.
func giveUpUnanswered(o *operator, ctx context.Context, apply func()) error {
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

// put applies an edit of a section to the current document.
func (o *operator) put(t *testing.T, section string, text []byte) uint64 {
	doc, err := o.Read(o.ctx)
	assert.NilError(t, err)
	generation, err := o.Apply(o.ctx, doc, o.NewEdit(doc, section, text))
	assert.NilError(t, err)
	return generation
}

// newDocument returns a store that holds generation 3 with two indexes, and the
// operator who wrote it.
func newDocument(t *testing.T) (*standin.Store, *operator) {
	store := standin.NewStore()
	first := newOperator(t, store, "first")
	first.put(t, "zones", []byte(zonesText))
	first.put(t, "index.a", indexText("a", 7001))
	first.put(t, "index.b", indexText("b", 7002))
	return store, first
}
