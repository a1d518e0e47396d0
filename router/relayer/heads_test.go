package relayer_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/linker"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/networker"
)

// Guards against heads of other routers that take more memory than there is for them, are
// refused without a response, or leave their reservation behind.
func TestHeadsOfOtherRoutersAreBounded(t *testing.T) {
	f := newRemoteFixture(t, true, 0)
	pool := linker.NewPool(networker.TCP{}, linker.Options{Hello: messenger.Hello{Cluster: "test", Version: messenger.Version, Role: messenger.RoleRouter, Name: "r3", Invites: true, Replies: true}})
	defer pool.Close()
	address := f.routes.Load().AllServers()[0].Address
	// exchange sends a message and returns the reason of the response, "none" without one.
	exchange := func(message any) messenger.Reason {
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		stream, err := pool.Open(ctx, address, messenger.KindRelay)
		qt.Assert(t, err, qt.IsNil)
		defer stream.Close()
		qt.Assert(t, stream.Send(message), qt.IsNil)
		var reply messenger.RelayReply
		if err := stream.Receive(&reply); err != nil {
			return "none"
		}
		response := reply.Unpack()
		qt.Check(t, response.ID, qt.Equals, "many")
		qt.Check(t, response.Outcome, qt.Equals, messenger.OutcomeRefused)
		return response.Reason
	}
	large := &messenger.Relay{ID: "many", Service: "findings", Method: http.MethodGet, Left: time.Second}
	for n := range 4000 {
		large.Header = append(large.Header, messenger.Header{Name: fmt.Sprint("X", n), Values: []string{""}})
	}
	qt.Check(t, exchange(large), qt.Equals, messenger.ReasonQueue)
	// Each is a list that no request is, and half of what there is.
	for range 10 {
		qt.Check(t, exchange(make([]int, 3000)), qt.Equals, messenger.Reason("none"))
	}
	for range 100 {
		if f.owner.heads.Used() == 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	qt.Check(t, f.owner.heads.Used(), qt.Equals, int64(0))
	answer := f.serve(t, strings.NewReader("body"), 4, time.Second)
	qt.Check(t, answer.Outcome, qt.Equals, messenger.OutcomeDone)
}
