package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	program = "target/platform"
	// coreSize is the number of core machines, tolerated how many of their disks may be lost.
	coreSize  = 5
	tolerated = 2
	// startTimeout bounds the start of the system.
	startTimeout = 30 * time.Second
	// restartDelay is how long the platform takes to start a process that was killed again.
	restartDelay = 500 * time.Millisecond
	// stableWindow is stable_window_s of the bounds, drainTime is drain_s.
	stableWindow = 3 * time.Second
	drainTime    = 2 * time.Second
)

// stage holds the processes and the stand-ins of a case.
type stage struct {
	trouble bool
	started time.Time
	folder  string

	mu     sync.Mutex
	record io.Writer
	nodes  []*node
	lines  int

	core     []*node
	sidecars []*node
	version  int
}

// maxLines bounds the record.
const maxLines = 100_000

func newStage(record io.Writer, trouble bool) *stage {
	folder, err := os.MkdirTemp("", "stand-")
	if err != nil {
		giveUp("creating a temporary folder: %v", err)
	}
	return &stage{trouble: trouble, started: time.Now(), folder: folder, record: record}
}

// note writes a line to the record.
func (s *stage) note(format string, values ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lines++; s.lines > maxLines {
		return
	}
	fmt.Fprintf(s.record, "%8.3f  %s\n", time.Since(s.started).Seconds(), fmt.Sprintf(format, values...))
}

// node is a machine with one process of the system.
type node struct {
	stage    *stage
	name     string
	role     string
	settings string
	fields   map[string]any
	// outbound, ready, control and app are addresses; app is that of the backend.
	outbound, ready, control, app string

	mu      sync.Mutex
	command *exec.Cmd
	done    chan struct{}
	// startedAt is when the process was last started.
	startedAt time.Time
}

// subnet keeps the machines of cases that run at the same time apart.
var subnet = 1 + rand.IntN(250)

// loopback returns the address of a machine.
func loopback(machine int) string {
	return fmt.Sprintf("127.0.%d.%d", subnet, machine+1)
}

// reservePorts returns ports that are free at the addresses of all machines.
func reservePorts(machines, count int) []int {
	var ports []int
	for range 1000 {
		port := 20_000 + rand.IntN(12_000)
		if !slices.Contains(ports, port) && isFree(machines, port) {
			ports = append(ports, port)
		}
		if len(ports) == count {
			return ports
		}
	}
	giveUp("too few ports are free")
	return nil
}

func isFree(machines, port int) bool {
	for n := range machines {
		listener, err := net.Listen("tcp", net.JoinHostPort(loopback(n), strconv.Itoa(port)))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

// build lays out the machines: the core and one sidecar for each service in services.
func (s *stage) build(services ...string) {
	const portsEach = 6
	count := coreSize + len(services)
	ports := reservePorts(count, portsEach)
	address := func(machine, n int) string { return net.JoinHostPort(loopback(machine), strconv.Itoa(ports[n])) }
	var seeds []string
	for n := range 3 {
		seeds = append(seeds, address(n, 3))
	}
	zones := []string{"east", "west", "north"}
	for n := range count {
		m := &node{stage: s, outbound: address(n, 1), ready: address(n, 2), control: address(n, 3), app: address(n, 4)}
		fields := map[string]any{
			"ip": loopback(n), "zone": zones[n%len(zones)], "region": "one", "bootstrap": true,
			"port_range": []int{ports[0], ports[0] + 15}, "seeds": seeds,
			"listen":          map[string]any{"outbound": m.outbound, "ready": m.ready, "control": m.control, "inbound": address(n, 5)},
			"limits":          map[string]any{"link_mbps": 1000.0},
			"fault_tolerance": map[string]any{"machines": tolerated},
			"bounds": map[string]any{"retry_budget_ratio": 0.2, "retry_budget_slack": 58, "retry_window_s": 10,
				"grace_s": 6, "drain_s": 2, "stable_window_s": 3},
		}
		template := "deploy/control.yaml"
		if n < coreSize {
			m.role, m.name = "control", fmt.Sprintf("core-%d", n+1)
			fields["data_dir"] = filepath.Join(s.folder, m.name)
			if err := os.Mkdir(filepath.Join(s.folder, m.name), 0o755); err != nil {
				giveUp("creating a disk folder: %v", err)
			}
			s.core = append(s.core, m)
		} else {
			template = "deploy/router.yaml"
			m.role, m.name = "router", fmt.Sprintf("sidecar-%d", n-coreSize+1)
			fields["service"], fields["app_addr"] = services[n-coreSize], m.app
			s.sidecars = append(s.sidecars, m)
		}
		fields["node_name"] = m.name
		source, err := os.ReadFile(template)
		if err != nil {
			giveUp("reading the template of the settings: %v", err)
		}
		m.fields = fields
		m.settings = filepath.Join(s.folder, m.name+".yaml")
		if err := os.WriteFile(m.settings, []byte(render(string(source), fields)), 0o644); err != nil {
			giveUp("writing settings: %v", err)
		}
		s.nodes = append(s.nodes, m)
	}
}

// render fills in a template of the settings: values, values as JSON, and sections that
// are left out or kept.
func render(template string, fields map[string]any) string {
	var out strings.Builder
	for {
		before, rest, found := strings.Cut(template, "{{")
		out.WriteString(before)
		if !found {
			return out.String()
		}
		name, after, _ := strings.Cut(rest, "}}")
		if section, ok := strings.CutPrefix(name, "#"); ok {
			body, tail, _ := strings.Cut(after, "{{/"+section+"}}")
			if lookUp(fields, section) != nil {
				out.WriteString(render(body, fields))
			}
			template = tail
			continue
		}
		name, asJSON := strings.CutSuffix(name, "|json")
		value := lookUp(fields, name)
		if asJSON {
			data, _ := json.Marshal(value)
			out.Write(data)
		} else if value != nil {
			fmt.Fprint(&out, value)
		}
		template = after
	}
}

func lookUp(fields map[string]any, path string) any {
	var value any = fields
	for part := range strings.SplitSeq(path, ".") {
		switch v := value.(type) {
		case map[string]any:
			value = v[part]
		case []int:
			value = v[0]
		}
	}
	return value
}

// start starts the process of a machine as the deploy file says.
func (m *node) start() {
	m.mu.Lock()
	defer m.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(m.stage.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		giveUp("opening a log: %v", err)
	}
	command := exec.Command(program, m.role)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MARIGOLDHILL_CONFIG=" + m.settings}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		giveUp("starting %s: %v", m.name, err)
	}
	done := make(chan struct{})
	m.command, m.done, m.startedAt = command, done, time.Now()
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(done)
	}()
}

// signal sends a signal to the process of a machine.
func (m *node) signal(signal syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stage.note("%s gets signal %d (%s)", m.name, signal, signal)
	_ = m.command.Process.Signal(signal)
}

// killAndRestart kills the process, which the platform starts again.
func (m *node) killAndRestart() {
	m.signal(syscall.SIGKILL)
	<-m.done
	time.Sleep(restartDelay)
	m.start()
	m.stage.note("%s is started again", m.name)
}

// inTouchSince returns when the machine is in touch again after its last start.
func (m *node) inTouchSince() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.startedAt.Add(stableWindow)
}

// close ends all processes and removes the temporary folder.
func (s *stage) close() {
	s.mu.Lock()
	nodes := s.nodes
	s.mu.Unlock()
	for _, m := range nodes {
		m.mu.Lock()
		if m.command != nil {
			_ = m.command.Process.Signal(syscall.SIGCONT)
			_ = m.command.Process.Kill()
			<-m.done
		}
		m.mu.Unlock()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
	}
}

// startAll starts the processes, sends the configuration until it is acknowledged and
// waits until all sidecars are ready.
func (s *stage) startAll(configuration map[string]any) {
	for _, m := range s.nodes {
		m.start()
	}
	deadline := time.Now().Add(startTimeout)
	for !s.configure(configuration) {
		if time.Now().After(deadline) {
			giveUp("no configuration was acknowledged")
		}
		time.Sleep(200 * time.Millisecond)
	}
	for _, m := range s.sidecars {
		for !m.isReady() {
			if time.Now().After(deadline) {
				giveUp("%s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	s.note("the configuration is acknowledged and all sidecars are ready")
}

// configure sends a configuration to the core, one machine after the other.
func (s *stage) configure(configuration map[string]any) bool {
	data, _ := json.Marshal(configuration)
	for _, m := range s.core {
		client := http.Client{Timeout: time.Second}
		request, _ := http.NewRequest(http.MethodPut, "http://"+m.control+"/config", strings.NewReader(string(data)))
		request.Header.Set("Content-Type", "application/json")
		response, err := client.Do(request)
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

func (m *node) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + m.ready + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// sleepUntil waits until an offset from a moment has passed.
func sleepUntil(start time.Time, offset time.Duration) {
	time.Sleep(time.Until(start.Add(offset)))
}
