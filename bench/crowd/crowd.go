package crowd

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// sendLimit ends the sending of a client whose bytes are not read.
	sendLimit = 10 * time.Second
	// clientBufferBytes are the buffers of a client's socket. The default ones hold most
	// of what a process does not read or send.
	clientBufferBytes = 16 << 10
)

// Crowd is a number of clients with one connection each.
type Crowd struct {
	Clients []*Client
	// sending counts the clients that are not done with sending.
	sending sync.WaitGroup
	// responses counts the status codes that the clients got; 0 stands for none. It is
	// guarded by mu.
	mu        sync.Mutex
	responses map[int]int
}

// Start connects a number of clients, which take turns at the addresses and the
// behaviours. Each keeps its connection open until the crowd leaves or the process
// closes it.
func Start(addresses []string, size int, r Request, behaviours ...Behaviour) *Crowd {
	c := &Crowd{responses: map[int]int{}}
	dialer := net.Dialer{Timeout: sendLimit}
	for i := range size {
		conn, err := dialer.Dial("tcp", addresses[i%len(addresses)])
		if err != nil {
			c.count(0)
			continue
		}
		limitBuffers(conn.(*net.TCPConn))
		client := &Client{Conn: conn, id: i}
		c.Clients = append(c.Clients, client)
		c.sending.Go(func() {
			_ = conn.SetWriteDeadline(time.Now().Add(sendLimit)) // fails only on a closed connection
			_ = behaviours[i%len(behaviours)](client, r)         // the process may close the connection
			if !client.ignoresResponse {
				go c.readResponse(client)
			}
		})
	}
	return c
}

// limitBuffers makes a client's kernel hold little of what it sends and gets.
func limitBuffers(conn *net.TCPConn) {
	_ = conn.SetWriteBuffer(clientBufferBytes) // fails only on a closed connection
	_ = conn.SetReadBuffer(clientBufferBytes)  // likewise
}

// Wait waits until each client has sent what it sends, or can't.
func (c *Crowd) Wait() { c.sending.Wait() }

// readResponse records the response to a client, if it gets one.
func (c *Crowd) readResponse(client *Client) {
	resp, err := http.ReadResponse(bufio.NewReader(client), nil)
	if err != nil {
		c.count(0)
		return
	}
	_ = resp.Body.Close() // only the status counts
	c.count(resp.StatusCode)
}

func (c *Crowd) count(status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responses[status]++
}

// Leave closes the connections of the clients.
func (c *Crowd) Leave() {
	for _, client := range c.Clients {
		_ = client.Close() // it may be closed already
	}
	c.sending.Wait()
}

// String returns the number of responses by status; 0 stands for none.
func (c *Crowd) String() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprint("responses by status: ", c.responses)
}
