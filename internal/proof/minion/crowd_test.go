package minion

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"gitlab.com/chicorypin/chicorypin/internal/standin/await"
)

// Limits of the configuration, and of the entries in the tests with crowds.
const (
	maxHeaderBytes = 16_384
	maxBodyBytes   = 262_144
	idleTimeout    = 15 * time.Second
	// crowdMemory is in megabytes.
	crowdMemory = 96
	// manyDescriptors lets a crowd show what it takes of the memory, fewDescriptors what it takes of the
	// descriptors.
	manyDescriptors = 1200
	fewDescriptors  = 300
)

const (
	// sendTimeout ends the wait for clients whose bytes are not taken.
	sendTimeout = 4 * time.Second
	// crowdStay is how long a crowd stays when all have sent.
	crowdStay = 4 * time.Second
	// sendPause is the time between two pieces that a client sends.
	sendPause = 10 * time.Millisecond
	pieceSize = 8 * 1024
	megabyte  = 1 << 20
	// maxSteps and maxSpecBytes are limits of a job.
	maxSteps     = 1000
	maxSpecBytes = 4000
	// cellLostEvent is the number of the event that an entry has lost a cell.
	cellLostEvent = 623
)

// client is what each client of a crowd sends.
type client struct {
	head string
	// body is sent in pieces of this size, at once if it is 0.
	body  []byte
	piece int
	// last is sent when all clients have sent the rest.
	last string
	// endless is sent after that again and again.
	endless []byte
}

// crowd is a number of clients that stay connected.
type crowd struct {
	client
	size int
}

// memoryCrowds take memory.
var memoryCrowds = map[string]crowd{
	"whole bodies with many steps": {client{
		head: postHead(queueHost, accountKey, maxBodyBytes), body: allButLast(bodyOfSteps("{}")), last: "}",
	}, 40},
	"whole bodies with long lists": {client{
		head: postHead(queueHost, accountKey, maxBodyBytes), body: allButLast(bodyOfSteps(`{"after":[0` + strings.Repeat(",0", 124) + `]}`)), last: "}",
	}, 300},
	"bodies short of their last byte": {client{
		head: postHead(queueHost, accountKey, maxBodyBytes), body: allButLast(bodyOfSteps("{}")),
	}, 600},
	"bodies in pieces, short of their last byte": {client{
		head: postHead(queueHost, accountKey, maxBodyBytes), body: allButLast(bodyOfSteps("{}")), piece: pieceSize,
	}, 600},
	"one large chunk, short of its end": {client{
		head: chunkedHead(queueHost, accountKey),
		body: append(fmt.Appendf(nil, "%x\r\n", maxBodyBytes), allButLast(bodyOfSteps("{}"))...),
	}, 600},
	"chunks of 4 bytes, short of the end": {client{
		head: chunkedHead(queueHost, accountKey), body: chunks(allButLast(bodyOfSteps("{}")), 4),
	}, 600},
	"heads without end": {client{
		head: "POST /tasks/00000000000000aa HTTP/1.1\r\nHost: " + queueHost + "\r\n",
		body: bytes.Repeat([]byte("X-Padding: "+strings.Repeat("a", 115)+"\r\n"), megabyte/128),
	}, 400},
	"request lines without end": {client{head: "GET /tasks/", body: bytes.Repeat([]byte("a"), megabyte)}, 400},
	"empty lines without end":   {client{endless: bytes.Repeat([]byte("\r\n"), pieceSize/2)}, 400},
	"pipelined requests whose answers are not read": {client{
		endless: bytes.Repeat([]byte("GET /tasks/ HTTP/1.1\r\nHost: "+queueHost+"\r\nAuthorization: Bearer "+accountKey+"\r\n\r\n"), 64),
	}, 400},
	"bodies far over the limit": {client{
		head: postHead(queueHost, accountKey, 1<<30), endless: bytes.Repeat([]byte(" "), pieceSize),
	}, 400},
}

// descriptorCrowds hold descriptors.
var descriptorCrowds = map[string]struct {
	crowd
	// isServedBeside makes the test require that a request is answered while the crowd stays.
	isServedBeside bool
}{
	"bodies with a wrong key, short of their last byte": {crowd{client{
		head: postHead(queueHost, "unknown", maxBodyBytes), body: allButLast(bodyOfSteps("{}")),
	}, 600}, true},
	"bodies for no queue, short of their last byte": {crowd{client{
		head: postHead("other.example", accountKey, maxBodyBytes), body: allButLast(bodyOfSteps("{}")),
	}, 600}, true},
	"connections that send nothing": {crowd{client{}, 600}, false},
	"bodies of which one byte is sent": {crowd{client{
		head: postHead(queueHost, accountKey, maxBodyBytes), body: []byte("{"),
	}, 600}, false},
}

// postHead returns the head of a request that submits a job.
func postHead(host, key string, length int) string {
	return requestHead(host, key, "00000000000000aa", fmt.Sprintf("Content-Length: %d", length))
}

func chunkedHead(host, key string) string {
	return requestHead(host, key, "00000000000000aa", "Transfer-Encoding: chunked")
}

func requestHead(host, key, id, field string) string {
	return "POST /tasks/" + id + " HTTP/1.1\r\nHost: " + host + "\r\nAuthorization: Bearer " + key +
		"\r\nContent-Type: application/json\r\nX-Chicorypin-Deadline-Ms: 3000\r\n" + field + "\r\n\r\n"
}

// bodyOfSteps returns a body of maxBodyBytes of a job with as many steps as fit.
func bodyOfSteps(step string) []byte {
	const start, end = `{"spec":"s","steps":[`, `]}`
	room := maxBodyBytes - len(start) - len(end)
	steps := strings.TrimSuffix(strings.Repeat(step+",", (room+1)/(len(step)+1)), ",")
	return []byte(start + steps + strings.Repeat(" ", room-len(steps)) + end)
}

func allButLast(body []byte) []byte { return body[:len(body)-1] }

// chunks returns a body in chunks of a size, without the last one, which is empty.
func chunks(body []byte, size int) (encoded []byte) {
	for chunk := range slices.Chunk(body, size) {
		encoded = fmt.Appendf(encoded, "%x\r\n%s\r\n", len(chunk), chunk)
	}
	return encoded
}

// Clients that sent large bodies or heads, most of them short of their end, ended a process by its memory.
func TestCrowdEndsProcess(t *testing.T) {
	for name, c := range memoryCrowds {
		t.Run(name, func(t *testing.T) {
			Convey("The entry stays within its memory and serves its cells and callers", t, FailureContinues, func() {
				newCrowdedSystem(t, manyDescriptors).expectServed(c, false)
			})
		})
	}
}

// Clients that only held connections, even without a key, took all descriptors of a process.
func TestCrowdTakesAllDescriptors(t *testing.T) {
	for name, c := range descriptorCrowds {
		t.Run(name, func(t *testing.T) {
			Convey("The entry keeps descriptors for its own calls and serves its cells and callers", t, FailureContinues, func() {
				newCrowdedSystem(t, fewDescriptors).expectServed(c.crowd, c.isServedBeside)
			})
		})
	}
}

// crowdedSystem is a system of which one entry, the owner, is the target of a crowd.
type crowdedSystem struct {
	*system
	target      *entryProcess
	entry       int
	descriptors int
	submissions uint64
}

func newCrowdedSystem(t *testing.T, descriptors int) *crowdedSystem {
	t.Helper()
	s := newSystem(t, systemConfig{entries: 2, endpoints: 2, memory: crowdMemory, descriptors: descriptors, seed: 1})
	s.client = &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	c := &crowdedSystem{system: s, target: s.owner(), descriptors: descriptors, submissions: s.config.seed}
	c.entry = slices.Index(s.entries, c.target)
	if err := limitDescriptors(c.pid(), descriptors); err != nil {
		t.Fatal(err)
	}
	return c
}

func (c *crowdedSystem) pid() int { return c.target.command.Process.Pid }

// submitNext submits a small job at the target, on a connection of its own.
func (c *crowdedSystem) submitNext() bool {
	c.submissions++
	return c.submit(c.entry, c.submissions)
}

// expectServed checks that the target bears a crowd.
func (c *crowdedSystem) expectServed(crowd crowd, isServedBeside bool) {
	c.submissions++
	So(c.submitSpec(c.entry, c.submissions, longSpec, 4), ShouldBeTrue)
	earlierJob := c.jobs[len(c.jobs)-1]
	lostCells := c.countLostCells()
	calmMemoryKB := peakMemoryKB(c.pid())

	meter := startMeter(c.pid(), c.target.submitters)
	leave := crowd.come(c.target.submitters)
	isBesideServed := !isServedBeside || await.Until(timeout, c.submitNext)
	leave()
	taken := meter.stop()
	isServed := isAlive(c.pid()) && await.Until(timeout, c.submitNext)
	isEarlierJobKnown := await.Until(timeout, func() bool {
		_, content := c.call(http.MethodGet, c.jobURL(c.entry, earlierJob), nil)
		return strings.Contains(content, `"state":"`)
	})
	lostCells = c.countLostCells() - lostCells
	c.t.Logf("%d clients: memory %d of %d MB (%d MB before, %d MB with unread bytes), descriptors %d of %d, alive %t, cells lost %d, served %t, beside the crowd %t, job known %t",
		crowd.size, taken.memoryKB/1024, crowdMemory, calmMemoryKB/1024, taken.heldKB/1024, taken.descriptors, c.descriptors, isAlive(c.pid()), lostCells,
		isServed, isBesideServed, isEarlierJobKnown)

	So(isAlive(c.pid()), ShouldBeTrue)
	So(taken.memoryKB, ShouldBeLessThanOrEqualTo, crowdMemory*1024)
	So(taken.heldKB, ShouldBeLessThanOrEqualTo, crowdMemory*1024)
	// A third is left for the calls of the system.
	So(taken.descriptors, ShouldBeLessThanOrEqualTo, c.descriptors*2/3)
	So(lostCells, ShouldEqual, 0)
	So(isBesideServed, ShouldBeTrue)
	So(isServed, ShouldBeTrue)
	So(isEarlierJobKnown, ShouldBeTrue)
}

// countLostCells returns how often the target has lost a cell.
func (c *crowdedSystem) countLostCells() int {
	data, err := os.ReadFile(c.target.logPath)
	if err != nil {
		c.t.Error(err)
	}
	return bytes.Count(data, fmt.Appendf(nil, `"event":%d,`, cellLostEvent))
}

// come connects the clients and returns when all have sent and stayed for crowdStay. leave closes their
// connections.
func (c crowd) come(address netip.AddrPort) (leave func()) {
	var mu sync.Mutex
	var connections []net.Conn
	var sending, clients sync.WaitGroup
	sending.Add(c.size)
	areReady := make(chan struct{})
	for range c.size {
		clients.Go(func() {
			connection, err := net.DialTimeout("tcp", address.String(), sendTimeout)
			if err != nil {
				sending.Done()
				return
			}
			mu.Lock()
			connections = append(connections, connection)
			mu.Unlock()
			err = c.sendFirst(connection)
			sending.Done()
			<-areReady
			if err == nil {
				c.sendRest(connection)
			}
		})
	}
	allSent := make(chan struct{})
	go func() {
		sending.Wait()
		close(allSent)
	}()
	select {
	case <-allSent:
	case <-time.After(sendTimeout):
	}
	close(areReady)
	time.Sleep(crowdStay)
	return func() {
		// Connections that are opened later are closed as well.
		closed := make(chan struct{})
		go func() {
			clients.Wait()
			close(closed)
		}()
		for isOpen := true; isOpen; {
			mu.Lock()
			for _, connection := range connections {
				connection.Close()
			}
			mu.Unlock()
			select {
			case <-closed:
				isOpen = false
			case <-time.After(sendPause):
			}
		}
	}
}

// sendFirst sends what comes before last.
func (c client) sendFirst(connection net.Conn) error {
	if _, err := io.WriteString(connection, c.head); err != nil {
		return err
	}
	return sendPieces(connection, c.body, c.piece, sendPause)
}

// sendRest sends last, and endless until the connection is closed.
func (c client) sendRest(connection net.Conn) {
	_, err := io.WriteString(connection, c.last)
	for err == nil && len(c.endless) > 0 {
		_, err = connection.Write(c.endless)
		time.Sleep(sendPause)
	}
}

// sendPieces sends data in pieces of a size, at once if it is 0, with a pause after each.
func sendPieces(connection net.Conn, data []byte, size int, pause time.Duration) error {
	if size == 0 {
		_, err := connection.Write(data)
		return err
	}
	for piece := range slices.Chunk(data, size) {
		if _, err := connection.Write(piece); err != nil {
			return err
		}
		time.Sleep(pause)
	}
	return nil
}

// slowSend is how long clients send that are slow within the limits.
const slowSend = 2 * time.Second

// calmRequests are single requests within the limits. The functions return the statuses of their answers.
var calmRequests = map[string]func(c *crowdedSystem, id string) []int{
	"largest body": func(c *crowdedSystem, id string) []int {
		return []int{c.send(lengthHead(id, maxBodyBytes), largestJob(), 0, 0)}
	},
	"largest body, slowly": func(c *crowdedSystem, id string) []int {
		return []int{c.send(lengthHead(id, maxBodyBytes), largestJob(), pieceSize, slowSend*pieceSize/maxBodyBytes)}
	},
	"largest body in chunks of 4 bytes": func(c *crowdedSystem, id string) []int {
		return []int{c.send(requestHead(queueHost, accountKey, id, "Transfer-Encoding: chunked"),
			append(chunks(largestJob(), 4), "0\r\n\r\n"...), 0, 0)}
	},
	"small body, byte by byte": func(c *crowdedSystem, id string) []int {
		body := []byte(smallJob)
		return []int{c.send(lengthHead(id, len(body)), body, 1, slowSend/time.Duration(len(body)))}
	},
	"largest head": func(c *crowdedSystem, id string) []int {
		const name = "\r\nX-Padding: "
		field := fmt.Sprintf("Content-Length: %d%s", len(smallJob), name)
		field += strings.Repeat("a", maxHeaderBytes-len(requestHead(queueHost, accountKey, id, field)))
		return []int{c.send(requestHead(queueHost, accountKey, id, field), []byte(smallJob), 0, 0)}
	},
	"ten requests on one connection": func(c *crowdedSystem, _ string) (statuses []int) {
		connection := c.dial()
		defer connection.Close()
		reader := bufio.NewReader(connection)
		for range 10 {
			_, _ = fmt.Fprintf(connection, "GET /tasks/ HTTP/1.1\r\nHost: %s\r\nAuthorization: Bearer %s\r\n\r\n", queueHost, accountKey)
			statuses = append(statuses, readStatus(reader))
			time.Sleep(idleTimeout / 50)
		}
		return statuses
	},
}

const smallJob = `{"spec":"s","steps":[{"count":1,"cpu":500,"memMb":256,"estRuntimeMs":1000}]}`

// largestJob returns a valid job of maxBodyBytes with the largest spec and number of steps.
func largestJob() []byte {
	var steps []string
	for i := range maxSteps {
		after := ""
		if i > 0 {
			after = fmt.Sprintf(`,"after":[%d]`, i-1)
		}
		steps = append(steps, `{"count":1,"cpu":500,"memMb":256,"estRuntimeMs":1000`+after+`}`)
	}
	start := fmt.Sprintf(`{"spec":%q,"steps":[%s`, strings.Repeat("s", maxSpecBytes), strings.Join(steps, ","))
	const end = `]}`
	return []byte(start + strings.Repeat(" ", maxBodyBytes-len(start)-len(end)) + end)
}

func lengthHead(id string, length int) string {
	return requestHead(queueHost, accountKey, id, fmt.Sprintf("Content-Length: %d", length))
}

func (c *crowdedSystem) dial() net.Conn {
	connection, err := net.Dial("tcp", c.target.submitters.String())
	if err != nil {
		c.t.Fatal(err)
	}
	_ = connection.SetReadDeadline(time.Now().Add(timeout))
	return connection
}

// send makes a request on a connection of its own and returns the status, 0 without an answer.
func (c *crowdedSystem) send(head string, body []byte, piece int, pause time.Duration) (status int) {
	connection := c.dial()
	defer connection.Close()
	if _, err := io.WriteString(connection, head); err != nil {
		return 0
	}
	// After an error, there may be an answer.
	_ = sendPieces(connection, body, piece, pause)
	return readStatus(bufio.NewReader(connection))
}

func readStatus(reader *bufio.Reader) int {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

func TestSingleRequestWithinLimitsIsServed(t *testing.T) {
	Convey("In calm", t, FailureContinues, func() {
		c := newCrowdedSystem(t, fewDescriptors)
		for name, request := range calmRequests {
			c.submissions++
			id := fmt.Sprintf("%016x", c.submissions)
			statuses := request(c, id)
			t.Log(name, statuses)
			for _, status := range statuses {
				So([]any{name, status / 100}, ShouldResemble, []any{name, 2})
			}
			// A job of many steps would leave less capacity to the next request.
			c.call(http.MethodDelete, c.jobURL(c.entry, id), nil)
		}
	})
}

func TestBrokenRequestIsNotAccepted(t *testing.T) {
	Convey("A request whose connection is broken before its last byte is not accepted", t, func() {
		c := newCrowdedSystem(t, fewDescriptors)
		for _, head := range []string{
			lengthHead("00000000000000bb", len(smallJob)),
			requestHead(queueHost, accountKey, "00000000000000bb", "Transfer-Encoding: chunked"),
		} {
			body := []byte(smallJob)
			if strings.Contains(head, "chunked") {
				body = chunks(body, 4)
			} else {
				body = allButLast(body)
			}
			connection := c.dial()
			_, err := connection.Write(append([]byte(head), body...))
			So(err, ShouldBeNil)
			connection.Close()
			// Once a later job is completed, the entry has long seen the end of the connection.
			So(c.submitNext(), ShouldBeTrue)
			c.await("the later job is completed", func() bool { return c.state(c.jobs[len(c.jobs)-1]) == "completed" })
			status, _ := c.call(http.MethodGet, c.jobURL(c.entry, "00000000000000bb"), nil)
			So(status, ShouldEqual, http.StatusGone)
		}
	})
}
