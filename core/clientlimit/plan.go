package clientlimit

// Connections divides the connections that a process may have among those that use them.
type Connections struct {
	// Clients is the number of clients' connections. A request in progress uses a second
	// one, to a target or a peer, which isn't counted here.
	Clients int
	// Directory, Operators and Peers are the numbers of connections that ask for
	// addresses, that check or measure the instance at one listener, and that come from
	// peers.
	Directory, Operators, Peers int
	// IdleTargets is the number of connections to targets that wait for a request, and
	// IdlePeers the same for peers that requests are handed over to.
	IdleTargets, IdlePeers int
}

const (
	// connectionBytes is the memory of a client's connection: the stacks of its
	// goroutines, its buffers, a header, and what it has received that is not read yet.
	connectionBytes = 48 << 10
	// connectionMemoryShare is the part of the memory that clients' connections may use.
	connectionMemoryShare = 4
	// minConnections is the smallest number for each use.
	minConnections = 8
)

// Parts of the sockets for each use. An eighth is left for the store, for connections to
// peers, and for those that are being opened or closed.
const (
	clientShare    = 4 // and as many for their requests in progress
	idleShare      = 8
	peerShare      = 8
	directoryShare = 16
	operatorShare  = 32
	idlePeerShare  = 32
)

// DivideConnections divides the sockets of a process that may use a number of bytes.
func DivideConnections(memoryBytes int64, sockets int) Connections {
	part := func(share int) int { return max(minConnections, sockets/share) }
	return Connections{
		Clients:   min(part(clientShare), max(minConnections, int(memoryBytes/connectionMemoryShare/connectionBytes))),
		Directory: part(directoryShare), Operators: part(operatorShare), Peers: part(peerShare),
		IdleTargets: part(idleShare), IdlePeers: part(idlePeerShare),
	}
}
