package assembler

import (
	"fmt"
	"net"
	"strings"

	"marigoldhill/kernel/limiter"
	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/parser"
)

// maxMembers is the largest number of members of a control group.
const maxMembers = 7

// Settings are the contents of the YAML file of a control process.
type Settings struct {
	// Version is the version of the format, [parser.Version].
	Version int `yaml:"version"`
	// Cluster is the name of the cluster. Links from processes of other clusters
	// are refused.
	Cluster string `yaml:"cluster"`
	// Name is the name of this process, unique among the members.
	Name string `yaml:"name"`
	// Listen is the address, host:port, on which the process accepts links from
	// other processes.
	Listen string `yaml:"listen"`
	// Operator is the address, host:port, of the operator interface.
	Operator string `yaml:"operator"`
	// Data is the path of the data directory, which must exist.
	Data string `yaml:"data"`
	// Members are the founding members. The group is founded with them at the
	// first start only; later changes of the list do not change the membership.
	Members []messenger.Member `yaml:"members"`
	// Join makes this process wait until an operator adds it to a running group.
	Join bool `yaml:"join"`
	// Seeds are the operator addresses, host:port, of the replicas from which a
	// group is bootstrapped. They replace name, members and join. All replicas
	// must listen on the same port.
	Seeds []string `yaml:"seeds"`
	// Found makes a seed with an empty data directory a founding member. All other
	// replicas join.
	Found bool `yaml:"found"`
	// ToleratedLosses is the number of disks that may fail at once. A group that is
	// bootstrapped from seeds grows to 2*ToleratedLosses+1 members.
	ToleratedLosses int `yaml:"losses"`
	// Timing overrides the default lease times. Fields that are 0 keep their
	// default.
	Timing messenger.Timing `yaml:"timing"`
	// VM is what the process may take of its VM.
	VM limiter.Settings `yaml:"vm"`
	// Log is the format of log lines, text or json.
	Log logger.Format `yaml:"log"`
}

var _ parser.Checker = (*Settings)(nil)

// Check implements [parser.Checker].
func (s *Settings) Check() (field, reason string) {
	if s.Version != parser.Version {
		return "version", fmt.Sprintf("is %d; must be set to %d", s.Version, parser.Version)
	}
	requiredFields := []struct{ field, value string }{
		{"cluster", s.Cluster},
		{"name", s.Name + strings.Join(s.Seeds, "")},
		{"data", s.Data},
	}
	for _, entry := range requiredFields {
		if entry.value == "" {
			return entry.field, "must not be empty"
		}
	}
	if reason := checkAddress(s.Listen); reason != "" {
		return "listen", reason
	}
	if reason := checkAddress(s.Operator); reason != "" {
		return "operator", reason
	}
	if field, reason := s.VM.Check(); reason != "" {
		return "vm." + field, reason
	}
	if s.Log != "" && s.Log != logger.FormatText && s.Log != logger.FormatJSON {
		return "log", "must be text or json"
	}
	return s.checkMembers()
}

func (s *Settings) checkMembers() (field, reason string) {
	if len(s.Seeds) > 0 {
		return s.checkSeeds()
	}
	if s.Join {
		if len(s.Members) > 0 {
			return "members", "must be empty when join is true: the running group provides its members"
		}
		return "", ""
	}
	if len(s.Members) < 1 || len(s.Members) > maxMembers {
		return "members", fmt.Sprintf("must list 1 to %d members, preferably an odd number", maxMembers)
	}
	seen := make(map[string]bool)
	for i, member := range s.Members {
		path := fmt.Sprintf("members[%d]", i)
		if member.Name == "" || seen[member.Name] {
			return path + ".name", "must be set and unique"
		}
		if reason := checkAddress(member.Address); reason != "" {
			return path + ".address", reason
		}
		seen[member.Name] = true
	}
	if !seen[s.Name] {
		return "members", fmt.Sprintf("must list this process, %q", s.Name)
	}
	return "", ""
}

func (s *Settings) checkSeeds() (field, reason string) {
	if len(s.Members) > 0 || s.Join || s.Name != "" {
		return "seeds", "must be empty when name, members or join is set"
	}
	for i, seed := range s.Seeds {
		if reason := checkAddress(seed); reason != "" {
			return fmt.Sprintf("seeds[%d]", i), reason
		}
	}
	if s.ToleratedLosses < 0 || 2*s.ToleratedLosses+1 > maxMembers {
		return "losses", fmt.Sprintf("must be 0 to %d", (maxMembers-1)/2)
	}
	return "", ""
}

// checkAddress returns why address is not a valid host:port, or "" if it is.
func checkAddress(address string) string {
	if _, _, err := net.SplitHostPort(address); err != nil {
		return fmt.Sprintf("%q must be host:port", address)
	}
	return ""
}

// member returns the entry of this process in Members. A process that is not listed
// there gets one that is made from its own addresses.
func (s *Settings) member() messenger.Member {
	for _, member := range s.Members {
		if member.Name == s.Name {
			return member
		}
	}
	return messenger.Member{Name: s.Name, Address: s.Listen, Operator: "http://" + s.Operator}
}
