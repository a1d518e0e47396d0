package registrar_test

import (
	"context"
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/registrar"
)

// recorder is a service that notes when it is started and stopped.
type recorder struct {
	name  string
	needs []string
	fail  error
	trace *[]string
}

func (r *recorder) Name() string    { return r.name }
func (r *recorder) Needs() []string { return r.needs }

func (r *recorder) Start(context.Context, *registrar.Registrar) error {
	if r.fail != nil {
		return r.fail
	}
	*r.trace = append(*r.trace, "+"+r.name)
	return nil
}

func (r *recorder) Stop(context.Context) error {
	*r.trace = append(*r.trace, "-"+r.name)
	return nil
}

func TestStartAndStopOrder(t *testing.T) {
	broken := errors.New("broken")
	tests := []struct {
		name     string
		services []recorder
		want     []string
		message  string
	}{
		{
			name:     "needs first, stop in reverse",
			services: []recorder{{name: "web", needs: []string{"table", "log"}}, {name: "table", needs: []string{"log"}}, {name: "log"}},
			want:     []string{"+log", "+table", "+web", "-web", "-table", "-log"},
		},
		{
			name:     "a failure stops what was started",
			services: []recorder{{name: "log"}, {name: "web", needs: []string{"log"}, fail: broken}},
			want:     []string{"+log", "-log"},
			message:  `.*starting service "web": broken`,
		},
		{
			name:     "a circle is refused",
			services: []recorder{{name: "a", needs: []string{"b"}}, {name: "b", needs: []string{"a"}}},
			message:  `.*need each other`,
		},
		{
			name:     "a missing need is refused",
			services: []recorder{{name: "a", needs: []string{"b"}}},
			message:  `.*"a" needs "b", which is not registered`,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var trace []string
			kernel := registrar.New()
			for i := range test.services {
				test.services[i].trace = &trace
				qt.Assert(t, kernel.Add(&test.services[i]), qt.IsNil)
			}
			err := kernel.Start(t.Context())
			if test.message != "" {
				qt.Assert(t, err, qt.ErrorMatches, test.message)
			} else {
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, kernel.Stop(t.Context()), qt.IsNil)
			}
			qt.Assert(t, trace, qt.DeepEquals, test.want)
		})
	}
}

func TestFind(t *testing.T) {
	kernel := registrar.New()
	qt.Assert(t, kernel.Add(&recorder{name: "log"}), qt.IsNil)
	qt.Assert(t, kernel.Add(&recorder{name: "log"}), qt.ErrorMatches, ".*registered twice")
	found, err := registrar.Find[*recorder](kernel, "log")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, found.name, qt.Equals, "log")
	_, err = registrar.Find[*recorder](kernel, "web")
	qt.Assert(t, err, qt.ErrorMatches, `.*no service is named "web"`)
}
