package launcher

import (
	"embed"
	"path"
	"strings"

	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/profiler"
)

//go:embed plans
var plans embed.FS

// Plan is the configuration of a deployment: its profiles and services, and the
// number of backend servers of each service.
type Plan struct {
	Name string
	// Domains is the number of failure domains.
	Domains  int
	Servers  []ServerCount
	Profiles []messenger.Profile
	Services []messenger.Service
}

// ServerCount is the number of backend servers of a service.
type ServerCount struct {
	Service string
	Count   int
}

// Derwent returns the plan of inspection reports across four failure domains.
func Derwent() (Plan, error) {
	return load("derwent", 4, []ServerCount{{"findings", 5}, {"reports", 4}})
}

// Kgotso returns the plan of district heat connections in three failure
// domains.
func Kgotso() (Plan, error) {
	return load("kgotso", 3, []ServerCount{{"enquiry", 7}, {"records", 5}})
}

// Playground returns a small plan with one service.
func Playground() (Plan, error) {
	plan, err := load("derwent", 3, []ServerCount{{"findings", 4}})
	plan.Name = "playground"
	plan.Services = plan.Services[:1]
	return plan, err
}

// load reads the profiles and services of a plan from the embedded files, in order of
// file name.
func load(name string, domains int, servers []ServerCount) (Plan, error) {
	plan := Plan{Name: name, Domains: domains, Servers: servers}
	directory := path.Join("plans", name)
	files, err := plans.ReadDir(directory)
	if err != nil {
		return plan, Error.New("reading plan %s: %w", name, err)
	}
	for _, file := range files {
		data, err := plans.ReadFile(path.Join(directory, file.Name()))
		if err != nil {
			return plan, Error.New("reading plan %s: %w", name, err)
		}
		if err := plan.add(file.Name(), data); err != nil {
			return plan, Error.New("reading plan %s: %w", name, err)
		}
	}
	return plan, nil
}

func (p *Plan) add(file string, data []byte) error {
	if strings.HasPrefix(file, "profile-") {
		profile, err := profiler.ParseProfile(file, data)
		if err != nil {
			return err
		}
		p.Profiles = append(p.Profiles, *profile)
		return nil
	}
	service, err := profiler.ParseService(file, data)
	if err != nil {
		return err
	}
	p.Services = append(p.Services, *service)
	return nil
}
