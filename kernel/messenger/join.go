package messenger

// JoinQuery asks to become a member of the control group.
type JoinQuery struct {
	Member Member
}

// JoinAnswer answers a JoinQuery.
type JoinAnswer struct {
	// Taken says that the leader was asked: the replica is a member, is being
	// enrolled, or has to ask again.
	Taken bool
	// Leader is the address of the leader, when it is known.
	Leader  string
	Members []Member
}
