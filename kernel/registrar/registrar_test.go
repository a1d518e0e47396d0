package registrar_test

import (
	"context"
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/registrar"
)

// traceService appends its starts and stops to trace.
type traceService struct {
	name  string
	needs []string
	fail  error
	trace *[]string
}

func (s *traceService) Name() string           { return s.name }
func (s *traceService) Dependencies() []string { return s.needs }

func (s *traceService) Start(context.Context, *registrar.Registrar) error {
	if s.fail != nil {
		return s.fail
	}
	*s.trace = append(*s.trace, "+"+s.name)
	return nil
}

func (s *traceService) Stop(context.Context) error {
	*s.trace = append(*s.trace, "-"+s.name)
	return nil
}

func TestStartAndStopOrder(t *testing.T) {
	broken := errors.New("broken")
	tests := []struct {
		name     string
		services []traceService
		want     []string
		message  string
	}{
		{
			name:     "start in dependency order, stop in reverse",
			services: []traceService{{name: "web", needs: []string{"table", "log"}}, {name: "table", needs: []string{"log"}}, {name: "log"}},
			want:     []string{"+log", "+table", "+web", "-web", "-table", "-log"},
		},
		{
			name:     "failed start stops the started services",
			services: []traceService{{name: "log"}, {name: "web", needs: []string{"log"}, fail: broken}},
			want:     []string{"+log", "-log"},
			message:  `.*starting service "web": broken`,
		},
		{
			name:     "dependency cycle is rejected",
			services: []traceService{{name: "a", needs: []string{"b"}}, {name: "b", needs: []string{"a"}}},
			message:  `.*services "b" and "a" are in a dependency cycle`,
		},
		{
			name:     "missing dependency is rejected",
			services: []traceService{{name: "a", needs: []string{"b"}}},
			message:  `.*"a" needs "b", which is not registered`,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var trace []string
			registry := registrar.New()
			for i := range test.services {
				test.services[i].trace = &trace
				qt.Assert(t, registry.Add(&test.services[i]), qt.IsNil)
			}
			err := registry.Start(t.Context())
			if test.message != "" {
				qt.Assert(t, err, qt.ErrorMatches, test.message)
			} else {
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, registry.Stop(t.Context()), qt.IsNil)
			}
			qt.Assert(t, trace, qt.DeepEquals, test.want)
		})
	}
}

func TestFind(t *testing.T) {
	registry := registrar.New()
	qt.Assert(t, registry.Add(&traceService{name: "log"}), qt.IsNil)
	qt.Assert(t, registry.Add(&traceService{name: "log"}), qt.ErrorMatches, ".*registered twice")
	found, err := registrar.Find[*traceService](registry, "log")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, found.name, qt.Equals, "log")
	_, err = registrar.Find[*traceService](registry, "web")
	qt.Assert(t, err, qt.ErrorMatches, `.*no service is named "web"`)
}
