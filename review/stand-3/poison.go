package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	// crashDown is how long a backend server is down after a crash.
	crashDown = 2 * time.Second
	// stableWindow is stable_window_s.
	stableWindow = 3 * time.Second
	// poisonInterval is the time between two attempts of the client, poisonAttempts their
	// number: all come within 20 s.
	poisonInterval = 1600 * time.Millisecond
	poisonAttempts = 12
	// otherInterval is the time between two other requests, of which there are 40 for each
	// attempt.
	otherInterval = 40 * time.Millisecond
	// maxLateRetries is how many retries the rule BUDGET leaves to such a request.
	maxLateRetries = 3
)

// poisonRun is a run of the request.
type poisonRun struct {
	id string
	at time.Time
}

// poisonPath is the path of the request that crashes backend servers.
const poisonPath = "/claims/7"

// runPoison sends a request that crashes the backend servers on a route over three services.
func runPoison(caseDir string, trouble bool) error {
	services := []string{"tarifas", "garantias", "repuestos", "tarifas", "garantias", "repuestos"}
	var mu sync.Mutex
	var runs []poisonRun
	var f *fleet
	run := func(b *backend, w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != poisonPath {
			_, _ = w.Write([]byte("done"))
			return
		}
		mu.Lock()
		runs = append(runs, poisonRun{id: r.Header.Get("Marigoldhill-Request-Id"), at: time.Now()})
		mu.Unlock()
		if !trouble {
			_, _ = w.Write([]byte("done"))
			return
		}
		f.note("%s crashes", b.id)
		b.crash()
		panic(http.ErrAbortHandler)
	}
	f, err := newFleet(caseDir, 3, 1, services, run)
	if err != nil {
		return err
	}
	defer f.close()
	parts := `"weighted_services":[{"service":"tarifas","weight":1},{"service":"garantias","weight":1},{"service":"repuestos","weight":1}]`
	if os.Getenv("SPLIT") == "0" {
		parts = `"service":"garantias"`
	}
	configuration := `{"version":"00000001","routes":{"r-claim":{"host":"desk.example","path_prefix":"/claims/","kind":"non_idempotent","timeout_s":2.5,"target_latency_s":0.4,"priority":1,` + parts + `,"max_attempts":2}},"services":{` +
		`"tarifas":{"health_path":"/health","max_connections":420,"protocol":"h1","tls":false},` +
		`"garantias":{"health_path":"/health","max_connections":420,"protocol":"h1","tls":false},` +
		`"repuestos":{"health_path":"/health","max_connections":420,"protocol":"h1","tls":false}},` +
		`"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}`
	if err := f.putConfiguration(f.addresses, configuration, 20*time.Second); err != nil {
		return err
	}
	if err := f.waitReady(f.routers, 20*time.Second); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	defer close(stop)
	go sendOthers(f, stop)
	for n := range poisonAttempts {
		entry := f.routers[n%len(f.routers)]
		id := fmt.Sprintf("claim-%d", n)
		status, err := send(entry.outbound(), http.MethodPost, poisonPath, id, 2500, 4711, "")
		f.note("client at %s sent %s: status %d, error %v", entry.name, id, status, err)
		time.Sleep(poisonInterval)
	}
	mu.Lock()
	defer mu.Unlock()
	if !trouble {
		if len(runs) < poisonAttempts {
			return fmt.Errorf("only %d of %d requests ran", len(runs), poisonAttempts)
		}
		return nil
	}
	if len(runs) < 3 {
		return fmt.Errorf("the request ran %d times only", len(runs))
	}
	third := runs[2].at
	late := make(map[string]bool)
	for _, run := range runs {
		if run.at.Sub(third) > stableWindow {
			late[run.id] = true
		}
	}
	f.note("%d crashes, %d retries reached backends later than %v after the third", len(runs), len(late), stableWindow)
	if len(late) > maxLateRetries {
		return errBroken(fmt.Sprintf("BUDGET: %d retries of a request that crashes backends reached them later than %v after the third crash, %d crashes in all", len(late), stableWindow, len(runs)))
	}
	return nil
}

// sendOthers sends requests that crash nothing, each with a path of its own.
func sendOthers(f *fleet, stop chan struct{}) {
	ticker := time.NewTicker(otherInterval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ticker.C:
		case <-stop:
			return
		}
		go func() {
			entry, id := f.routers[n%len(f.routers)], fmt.Sprintf("other-%d", n)
			status, err := send(entry.outbound(), http.MethodPost, "/claims/"+id, id, 2500, 4711, "")
			f.note("client at %s sent %s: status %d, error %v", entry.name, id, status, err)
		}()
	}
}

// crash ends a backend server at once and starts another one after crashDown.
func (b *backend) crash() {
	b.mu.Lock()
	if b.ended {
		b.mu.Unlock()
		return
	}
	b.ended = true
	b.mu.Unlock()
	b.cancel()
	server := b.server
	go func() {
		_ = server.Close()
		time.Sleep(crashDown)
		b.mu.Lock()
		b.held = [65536]hold{}
		b.fences = [65536]uint64{}
		b.sequence, b.born, b.ended = 0, 0, false
		b.id += "-next"
		b.mu.Unlock()
		_ = b.start()
	}()
}
