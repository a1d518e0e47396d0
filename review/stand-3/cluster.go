package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of each machine. Each machine has a loopback address of its own.
const (
	portControl  = 8144
	portApp      = 8145
	portOutbound = 8147
	portReady    = 8141
	portPeer     = 7380
)

// zones are those of the deployment dfc-reports.
var zones = []string{"hobart-a", "hobart-b", "launceston", "devonport"}

// cluster is a small deployment on loopback addresses.
type cluster struct {
	root   string
	dir    string
	prefix string
	seeds  []string
	losses int
	began  time.Time

	mu     sync.Mutex
	record *os.File
	procs  []*process
}

// process is one program of the project, run beside a stand-in or with a disk.
type process struct {
	c    *cluster
	name string
	role string
	ip   string
	env  string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// newCluster returns a cluster without processes. record.txt is written to caseDir.
func newCluster(caseDir string, controls, losses int) (*cluster, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, fmt.Errorf("finding the repository: %w", err)
	}
	dir, err := os.MkdirTemp("", "stand-3-")
	if err != nil {
		return nil, fmt.Errorf("making a temporary folder: %w", err)
	}
	record, err := os.Create(filepath.Join(caseDir, "record.txt"))
	if err != nil {
		return nil, fmt.Errorf("creating the record: %w", err)
	}
	c := &cluster{root: root, dir: dir, losses: losses, record: record, began: time.Now()}
	for range 50 {
		c.prefix = fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
		probe, err := net.Listen("tcp", c.prefix+"1:8144")
		if err == nil {
			_ = probe.Close()
			break
		}
	}
	for i := range min(controls, 3) {
		c.seeds = append(c.seeds, fmt.Sprintf("%s%d:%d", c.prefix, i+1, portControl))
	}
	return c, nil
}

// note writes a line to the record.
func (c *cluster) note(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fmt.Fprintf(c.record, "%8.3f  %s\n", time.Since(c.began).Seconds(), fmt.Sprintf(format, args...))
}

var section = regexp.MustCompile(`(?s)\{\{[#^]([a-z_.]+)\}\}.*?\{\{/[a-z_.]+\}\}`)

// settings fills in a template of the deploy file.
func (c *cluster) settings(template string, values map[string]string) (string, error) {
	data, err := os.ReadFile(filepath.Join(c.root, "deploy", template))
	if err != nil {
		return "", fmt.Errorf("reading the template: %w", err)
	}
	text := section.ReplaceAllString(string(data), "")
	for name, value := range values {
		text = strings.ReplaceAll(text, "{{"+name+"}}", value)
	}
	if strings.Contains(text, "{{") {
		return "", fmt.Errorf("template %s has unknown placeholders", template)
	}
	return text, nil
}

// control adds the process of a core machine.
func (c *cluster) control(number int, bootstrap bool) (*process, error) {
	ip := fmt.Sprintf("%s%d", c.prefix, number)
	seeds, _ := json.Marshal(c.seeds)
	name := fmt.Sprintf("core-%d", number)
	data := filepath.Join(c.dir, name)
	if err := os.MkdirAll(data, 0o755); err != nil {
		return nil, fmt.Errorf("making the data folder: %w", err)
	}
	text, err := c.settings("control.yaml", map[string]string{
		"ip": ip, "port_range.0": fmt.Sprint(portPeer), "listen.control": fmt.Sprintf("%s:%d", ip, portControl),
		"data_dir": data, "seeds|json": string(seeds), "bootstrap|json": fmt.Sprint(bootstrap),
		"fault_tolerance.machines|json": fmt.Sprint(c.losses), "limits.memory_mb": "280", "limits.max_fds": "4096",
	})
	if err != nil {
		return nil, err
	}
	return c.add(name, "control", ip, text)
}

// router adds the process of a sidecar machine.
func (c *cluster) router(number int, service string) (*process, error) {
	ip := fmt.Sprintf("%s%d", c.prefix, 100+number)
	seeds, _ := json.Marshal(c.seeds)
	name := fmt.Sprintf("sidecar-%d", number)
	text, err := c.settings("router.yaml", map[string]string{
		"node_name": name, "zone": zones[number%len(zones)], "region": "tas", "service": service,
		"app_addr": fmt.Sprintf("%s:%d", ip, portApp), "listen.outbound": fmt.Sprintf("%s:%d", ip, portOutbound),
		"ip": ip, "port_range.0": fmt.Sprint(portPeer), "listen.control": fmt.Sprintf("%s:%d", ip, portControl),
		"listen.ready": fmt.Sprintf("%s:%d", ip, portReady), "seeds|json": string(seeds),
		"bounds.retry_budget_ratio": "0.2", "bounds.retry_budget_slack": "58", "bounds.retry_window_s": "10",
		"limits.link_mbps": "1000.0", "limits.memory_mb": "284", "limits.max_fds": "4100", "bounds.grace_s": "6",
	})
	if err != nil {
		return nil, err
	}
	return c.add(name, "router", ip, text)
}

func (c *cluster) add(name, role, ip, text string) (*process, error) {
	path := filepath.Join(c.dir, name+".yaml")
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		return nil, fmt.Errorf("writing the settings: %w", err)
	}
	p := &process{c: c, name: name, role: role, ip: ip, env: path}
	c.procs = append(c.procs, p)
	return p, p.start()
}

// start starts the program with the command of the deploy file.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(p.c.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return fmt.Errorf("opening the log: %w", err)
	}
	defer log.Close()
	cmd := exec.Command("target/platform", p.role)
	cmd.Dir = p.c.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MARIGOLDHILL_CONFIG=" + p.env}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("starting %s: %w", p.name, err)
	}
	done := make(chan struct{})
	p.cmd, p.done = cmd, done
	go func() {
		err := cmd.Wait()
		p.c.note("%s pid %d ended: %v", p.name, cmd.Process.Pid, err)
		close(done)
	}()
	p.c.note("%s started, pid %d", p.name, cmd.Process.Pid)
	return nil
}

// signal sends a signal to the process.
func (p *process) signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.done:
		return
	default:
	}
	p.c.note("%s gets %v", p.name, signal)
	_ = p.cmd.Process.Signal(signal)
}

// kill kills the process and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// close ends all processes and removes the temporary folder.
func (c *cluster) close() {
	for _, p := range c.procs {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
	}
	for _, p := range c.procs {
		<-p.done
	}
	if keep := os.Getenv("KEEP"); keep != "" {
		fmt.Println("kept", c.dir)
		return
	}
	_ = os.RemoveAll(c.dir)
}

// outbound is the address for clients of a router.
func (p *process) outbound() string { return fmt.Sprintf("%s:%d", p.ip, portOutbound) }

// app is the address of the backend server beside a router.
func (p *process) app() string { return fmt.Sprintf("%s:%d", p.ip, portApp) }

// controlAddress is the address for backend servers or operators.
func (p *process) controlAddress() string { return fmt.Sprintf("%s:%d", p.ip, portControl) }

var errNoAnswer = errors.New("no clear answer")

// putConfiguration sends a configuration to the addresses in turn until it is acknowledged.
func (c *cluster) putConfiguration(addresses []string, body string, within time.Duration) error {
	client := &http.Client{Timeout: time.Second, CheckRedirect: func(_ *http.Request, via []*http.Request) error {
		if len(via) > 2 {
			return http.ErrUseLastResponse
		}
		return nil
	}}
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, address := range addresses {
			status, _, err := operatorCall(client, http.MethodPut, address, body)
			if err == nil && status == http.StatusOK {
				c.note("operator: configuration acknowledged by %s", address)
				return nil
			}
		}
	}
	return errNoAnswer
}

func operatorCall(client *http.Client, method, address, body string) (int, string, error) {
	request, err := http.NewRequest(method, "http://"+address+"/config", bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, "", fmt.Errorf("creating the call: %w", err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return 0, "", fmt.Errorf("calling the operator's API: %w", err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err
}

// waitReady waits until the routers answer that they are ready.
func (c *cluster) waitReady(routers []*process, within time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	end := time.Now().Add(within)
	for _, p := range routers {
		for {
			response, err := client.Get(fmt.Sprintf("http://%s:%d/ready", p.ip, portReady))
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", p.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	c.note("routers are ready")
	return nil
}

// replaceFound returns control settings with bootstrap set to false.
func replaceFound(text string) string {
	return strings.Replace(text, "found: true", "found: false", 1)
}
