package launcher

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"

	"github.com/VictoriaMetrics/metrics"

	"marigoldhill/bench/responder"
	control "marigoldhill/control/assembler"
	"marigoldhill/control/journaler"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/networker"
	"marigoldhill/kernel/parser"
	router "marigoldhill/router/assembler"
)

// Layout of the ports, as offsets from Settings.Port. Each control replica and each
// router has a block of portStep ports.
const (
	// DefaultPort is the first port by default.
	DefaultPort  = 7100
	portStep     = 10
	routerOffset = 100
	maxControls  = 7
	maxRouters   = 64

	// Offsets in the block of a control replica.
	controlListen   = 0
	controlOperator = 2
	// Offsets in the block of a router.
	routerListen   = 0
	routerPeer     = 1
	routerOperator = 2
	routerBackend  = 3
	routerServer   = 4
)

const region = "one"

func controlName(i int) string { return fmt.Sprintf("c%d", i+1) }
func routerName(i int) string  { return fmt.Sprintf("r%d", i+1) }
func serverName(i int) string  { return fmt.Sprintf("d%d", i+1) }

// controlAddress returns an address of control replica i.
func (s Settings) controlAddress(i, offset int) string {
	return hostPort(s.Host(controlName(i)), s.Port+i*portStep+offset)
}

// routerAddress returns an address on the VM of router i.
func (s Settings) routerAddress(i, offset int) string {
	return hostPort(s.Host(routerName(i)), s.Port+routerOffset+i*portStep+offset)
}

func hostPort(host string, port int) string {
	return net.JoinHostPort(host, strconv.Itoa(port))
}

// members returns the members of the control group.
func (s Settings) members() []messenger.Member {
	members := make([]messenger.Member, s.Controls)
	for i := range members {
		members[i] = messenger.Member{
			Name:     controlName(i),
			Address:  s.controlAddress(i, controlListen),
			Operator: "http://" + s.controlAddress(i, controlOperator),
		}
	}
	return members
}

func (s Settings) newControl(i int) *Node[*control.Process] {
	name := controlName(i)
	settings := control.Settings{
		Version:  parser.Version,
		Cluster:  s.Plan.Name,
		Name:     name,
		Listen:   s.controlAddress(i, controlListen),
		Operator: s.controlAddress(i, controlOperator),
		Data:     filepath.Join(s.Data, name),
		Members:  s.members(),
	}
	build := func(network networker.Network) (*control.Process, error) {
		disk, err := s.disk(name, settings.Data)
		if err != nil {
			return nil, err
		}
		return control.New(settings, control.Options{
			Network: network,
			Disk:    disk,
			Log:     s.Log("control", name),
			Metrics: metrics.NewSet(),
		})
	}
	return &Node[*control.Process]{name: name, network: s.Network(name), build: build}
}

// disk returns the disk of a control VM, or nil for the file system of the operating
// system, after creating the data directory there.
func (s Settings) disk(node, directory string) (journaler.Disk, error) {
	if s.Disk != nil {
		return s.Disk(node), nil
	}
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return nil, Error.New("creating data directory: %w", err)
	}
	return nil, nil
}

func (s Settings) newRouter(i int) *Node[*router.Process] {
	name := routerName(i)
	settings := router.Settings{
		Version:  parser.Version,
		Cluster:  s.Plan.Name,
		Name:     name,
		Domain:   fmt.Sprintf("domain%d", i%s.Plan.Domains+1),
		Region:   region,
		Listen:   s.routerAddress(i, routerListen),
		Peer:     s.routerAddress(i, routerPeer),
		Operator: s.routerAddress(i, routerOperator),
		Backend:  s.routerAddress(i, routerBackend),
		Grace:    s.Grace,
	}
	for _, member := range s.members() {
		settings.Control = append(settings.Control, member.Address)
	}
	build := func(network networker.Network) (*router.Process, error) {
		return router.New(settings, router.Options{
			Network: network,
			Log:     s.Log("router", name),
			Metrics: metrics.NewSet(),
		})
	}
	return &Node[*router.Process]{name: name, network: s.Network(name), build: build}
}

func (s Settings) newServer(i int, service string) *responder.Server {
	settings := s.Server
	settings.Name = serverName(i)
	settings.Service = service
	settings.Listen = s.routerAddress(i, routerServer)
	settings.Router = "http://" + s.routerAddress(i, routerBackend)
	if s.AdjustServer != nil {
		s.AdjustServer(i, &settings)
	}
	return responder.New(settings, s.Network(routerName(i)), responder.NewRunCounter())
}
