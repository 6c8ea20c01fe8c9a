package clientlimit

// Connections divides the sockets that a process may have among those that use them.
type Connections struct {
	// Clients is the number of clients' connections, and Requests the number of requests
	// in progress, each of which may use a connection to a target or a peer.
	Clients, Requests int
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
	// goroutines and its buffers. requestBytes is that of a request in progress beside
	// its body: the connection to its target, and what is received and not read there.
	connectionBytes = 24 << 10
	requestBytes    = 48 << 10
	// connectionMemoryShare is the part of the memory that clients' connections may use.
	connectionMemoryShare = 4
	// minConnections is the smallest number for each use.
	minConnections = 4
)

// Parts of the sockets for each use. A sixteenth is left for the store, for connections
// to peers, and for those that are being opened or closed.
const (
	clientShare    = 2
	requestShare   = 4
	idleShare      = 16
	peerShare      = 16
	directoryShare = 32
	operatorShare  = 128
	idlePeerShare  = 64
)

// DivideConnections divides the sockets of a process that may use a number of bytes.
func DivideConnections(memoryBytes int64, sockets int) Connections {
	part := func(share int) int { return max(minConnections, sockets/share) }
	fit := func(bytes int64) int { return max(minConnections, int(memoryBytes/connectionMemoryShare/bytes)) }
	return Connections{
		Clients:   min(part(clientShare), fit(connectionBytes)),
		Requests:  min(part(requestShare), fit(requestBytes)),
		Directory: part(directoryShare), Operators: part(operatorShare), Peers: part(peerShare),
		IdleTargets: part(idleShare), IdlePeers: part(idlePeerShare),
	}
}
