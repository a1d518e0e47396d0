package messenger

// JoinQuery requests membership in the control group.
type JoinQuery struct {
	Member Member
}

// JoinResponse is the response to a JoinQuery.
type JoinResponse struct {
	// Taken means that the leader received the query: the replica is a member, is
	// being added, or must send the query again.
	Taken bool
	// Leader is the address of the leader, if known.
	Leader  string
	Members []Member
}
