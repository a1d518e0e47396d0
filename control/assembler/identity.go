package assembler

import (
	"fmt"
	"net"
	"slices"

	"marigoldhill/control/journaler"
	"marigoldhill/kernel/messenger"
)

// resolveIdentity sets Name, Members and Join for a replica of a group that is
// bootstrapped from seeds.
//
// An identity that is stored in the data directory takes precedence. With an empty
// directory, the replica becomes a founding member only if found is true and it is
// one of the seeds; otherwise it joins. A joining replica gets a random suffix to
// its name, so that a replica that lost its disk is never mistaken for the former
// replica.
func (s *Settings) resolveIdentity(disk journaler.Disk) error {
	if len(s.Seeds) == 0 {
		return nil
	}
	identity, err := journaler.ReadIdentity(disk, s.Data)
	if err != nil {
		return Error.New("reading the identity: %w", err)
	}
	switch {
	case identity != nil:
		s.Name, s.Members, s.Join = identity.Name, identity.Founders, identity.Join
	case s.Found && slices.Contains(s.Seeds, s.Operator):
		s.Name = s.Listen
		for _, seed := range s.Seeds {
			s.Members = append(s.Members, messenger.Member{
				Name:     s.peerAddress(seed),
				Address:  s.peerAddress(seed),
				Operator: "http://" + seed,
			})
		}
	default:
		s.Name = fmt.Sprintf("%s-%x", s.Listen, randomNumber())
		s.Join = true
	}
	return nil
}

// peerAddress returns the address for other processes of the replica with the given
// operator address: its host with the port of Listen, which all replicas share.
func (s *Settings) peerAddress(operator string) string {
	host, _, hostErr := net.SplitHostPort(operator)
	_, port, portErr := net.SplitHostPort(s.Listen)
	if hostErr != nil || portErr != nil {
		return operator // unreachable, Check rejects such addresses
	}
	return net.JoinHostPort(host, port)
}

// peerAddresses returns the addresses of the seeds for other processes.
func (s *Settings) peerAddresses() []string {
	var peerAddresses []string
	for _, seed := range s.Seeds {
		peerAddresses = append(peerAddresses, s.peerAddress(seed))
	}
	return peerAddresses
}
