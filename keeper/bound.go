package keeper

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"syscall"
	"time"

	"github.com/carawaybeam/carawaybeam"
	"github.com/carawaybeam/carawaybeam/shedder"
)

const (
	// receiveBuffer and sendBuffer are the sizes of the kernel's buffers of a connection, which
	// else grow to megabytes for a client that sends what is not read, or reads nothing. A
	// large body gets bodyBuffer while it is read, which its reservation exceeds.
	receiveBuffer = 16 << 10
	sendBuffer    = 32 << 10
	bodyBuffer    = 128 << 10

	// writePart is the size of the parts in which an answer is written, so that its progress is known.
	writePart = 16 << 10

	// defaultWriteTime is how long one write may take if the server has set no limit, as for
	// answers to requests that it cannot parse.
	defaultWriteTime = 10 * time.Second

	// refusalTime is how long a client may take to receive that its header is refused.
	refusalTime = time.Second

	// maxEndWait is how long a new connection waits until others end, and retryWait the time between two
	// looks.
	maxEndWait = 200 * time.Millisecond
	retryWait  = 5 * time.Millisecond

	// maxCheckWait is the same where readiness checks are offered, which are to be answered within 1 s. A refused
	// check gets no answer at all.
	maxCheckWait = 900 * time.Millisecond

	// checkSpare is the part of the bound by which connections that are being closed may exceed it where readiness
	// checks are offered. In a busy process they are late to end, and new ones wait for that.
	checkSpare = 2

	// scanInterval is the least time between two looks at all connections, and fullInterval that while the
	// bound is reached. Progress is measured over 500 ms.
	scanInterval = 10 * time.Millisecond
	fullInterval = retryWait

	// logInterval is the least time between two log lines on connections that are closed for
	// others.
	logInterval = time.Second

	// A header with more than freeItems items reserves headerCost bytes for each byte of the largest header,
	// all at once: headers that reserve part by part would wait for each other. A field counts as
	// fieldItems items and a comma as one, since some fields are lists. 3,200 fields in 19 KB take 870 KB
	// when they are decoded, copied twice and written to a backend server, and a list of 4,000 parts 300 KB.
	freeItems  = 64 * fieldItems
	fieldItems = 4
	headerCost = 64

	// headerRetryAfter is when the client of a request may retry for whose header there was no
	// memory, in seconds.
	headerRetryAfter = "0.500"
	headerRefusal    = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: " + headerRetryAfter +
		"\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)

// errNoMemory reports that there is no memory for a header.
var errNoMemory = errors.New("no memory for the header of the request")

type (
	// progress is what a connection has done of its current request. The fields are guarded by the
	// mu of conn.
	progress struct {
		// client is the address of the client, without the port.
		client       netip.Addr
		organisation carawaybeam.OrganisationID
		// inHead and inBody are set while the head or the body of a request is read, and
		// writing while a write to the client blocks. readSince and writeSince are when that began,
		// and arrived and taken how many bytes have arrived or been taken since.
		inHead, inBody, writing bool
		// enlarged is set while the kernel's buffer has the size for a body.
		enlarged bool
		// closing is set once the server has sent all that it will and only waits for the client.
		closing               bool
		readSince, writeSince time.Time
		arrived, taken        carawaybeam.Bytes
		// shed is set once the connection is being closed for others.
		shed bool
		// requests counts the requests. ahead is set once the head of one had arrived with the end of
		// the request before.
		requests int
		ahead    bool
		// readErr is set once the head of a request was refused.
		readErr error
		// writeDeadline is the deadline that the HTTP server has set.
		writeDeadline time.Time
		// writeShed is set if it is being closed for others because of a write.
		writeShed bool
		// items counts the items of the current head. lineEmpty is set at the beginning of a line
		// of it, and headDone behind it.
		items               int
		lineEmpty, headDone bool
		// releaseHead releases the memory of the head, if some is reserved.
		releaseHead func()
	}

	// counts counts what was done for lack of room. The fields are guarded by the mu of Keeper.
	counts struct {
		shedCount, refusedCount, headerCount, scanCount uint64
		// logged is when that was last logged, and unlogged how many connections were closed or
		// refused since.
		logged   time.Time
		unlogged int
	}

	// State is the state dump of a Keeper.
	State struct {
		// Connections is the number of connections, and Bound their maximum or 0.
		Connections int           `json:"connections"`
		Bound       shedder.Bound `json:"bound"`
		// Shed is how many were closed for others, and Refused how many were closed as they came.
		Shed    uint64 `json:"shed"`
		Refused uint64 `json:"refused"`
		// Headers is how many headers were refused for lack of memory.
		Headers uint64 `json:"headers"`
		// Scans is how often all connections were looked at in order to close some.
		Scans uint64 `json:"scans"`
	}
)

// State returns the state dump.
func (k *Keeper) State() State {
	k.mu.Lock()
	defer k.mu.Unlock()
	return State{
		Connections: len(k.conns), Bound: k.options.Bound, Shed: k.shedCount, Refused: k.refusedCount,
		Headers: k.headerCount, Scans: k.scanCount,
	}
}

// bounded reports whether the memory of connections is bounded.
func (k *Keeper) bounded() bool { return k.options.Bound > 0 }

// prepareListener bounds the kernel's buffers of connections that are not accepted yet.
func (k *Keeper) prepareListener() {
	listener, ok := k.listener.(syscall.Conn)
	if !ok || !k.bounded() {
		return
	}
	raw, err := listener.SyscallConn()
	if err == nil {
		// Without the option, the buffers are bounded once a connection is accepted.
		_ = raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
	}
}

// admit adds a connection if there is room for it. Near the bound, it closes others.
func (k *Keeper) admit(c *conn) bool {
	if address, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		c.client = address.AddrPort().Addr().Unmap()
	}
	if !k.bounded() {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.conns[c] = struct{}{}
		return true
	}
	c.setBuffers(receiveBuffer, sendBuffer)
	// Connections that end slowly are not waited for again and again.
	late := time.Since(k.lateAt) < maxEndWait
	longest := maxEndWait
	if k.options.Checks {
		longest = maxCheckWait
	}
	began := time.Now()
	for {
		admitted, wait := k.tryAdmit(c, late)
		k.logClosed()
		if !wait {
			return admitted
		}
		// Further clients wait in the kernel meanwhile.
		timer := time.NewTimer(retryWait)
		select {
		case <-k.removed:
			timer.Stop()
		case <-timer.C:
		}
		if time.Since(began) >= longest || k.draining.Load() {
			late, k.lateAt = true, time.Now()
		}
	}
}

// tryAdmit adds a connection if there is room for it. Otherwise the caller is to wait until others have ended or have
// had time to make progress or, if it is late, the connection is refused.
func (k *Keeper) tryAdmit(c *conn, late bool) (admitted, wait bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	closed := k.makeRoom()
	k.shedCount += uint64(closed)
	k.unlogged += closed
	if !k.full() {
		k.conns[c] = struct{}{}
		return true, false
	}
	if !late {
		return false, true
	}
	k.refusedCount++
	k.unlogged++
	return false, false
}

// full reports whether there is no room for a further connection. The caller holds mu.
func (k *Keeper) full() bool {
	spare := k.options.Bound.Spare()
	if k.options.Checks {
		spare = int(k.options.Bound) / checkSpare
	}
	return k.options.Bound.Full(len(k.conns), k.ending, spare)
}

// makeRoom closes connections with little progress until there is room for a further one, and returns how many. It
// looks at all connections once in a while, and takes victims from what it found then. The caller holds mu.
func (k *Keeper) makeRoom() (closed int) {
	if k.options.Bound.Room(len(k.conns)) > 0 {
		k.victims, k.ranked = nil, nil
		return 0
	}
	if closed = k.closeVictims(); k.options.Bound.Room(len(k.conns)-k.ending) > 0 {
		return closed
	}
	interval := scanInterval
	if k.full() {
		interval = fullInterval
	}
	if time.Since(k.scanned) < interval {
		return closed
	}
	k.scan()
	return closed + k.closeVictims()
}

// closeVictims closes as many of the victims as are needed for a further connection, and returns how many. The caller
// holds mu.
func (k *Keeper) closeVictims() (closed int) {
	now := time.Now()
	for len(k.victims) > 0 && k.options.Bound.Needed(k.victims[0], len(k.conns)-k.ending) {
		v := k.victims[0]
		k.victims = k.victims[1:]
		c := k.ranked[v.Index]
		if _, open := k.conns[c]; !open || !c.closeForOthers(now, v) {
			continue
		}
		closed++
		if c.isClosed() {
			// The server still waits a moment, and then closes it once more.
			k.forget(c)
			continue
		}
		k.setEnding(c, true)
	}
	return closed
}

// scan ranks all connections, and counts those that are being closed. The caller holds mu.
func (k *Keeper) scan() {
	now := time.Now()
	k.scanCount++
	k.scanned = now
	k.ranked = make([]*conn, 0, len(k.conns))
	described := make([]shedder.Connection, 0, len(k.conns))
	for c := range k.conns {
		c.mu.Lock()
		d := c.describe()
		c.mu.Unlock()
		// A connection whose request arrived in time is served all the same.
		k.setEnding(c, d.Stage == shedder.Ending)
		k.ranked, described = append(k.ranked, c), append(described, d)
	}
	k.victims = k.options.Bound.Rank(now, described)
}

// setEnding sets whether a connection counts as ending. The caller holds mu.
func (k *Keeper) setEnding(c *conn, ending bool) {
	switch {
	case ending && !c.ending:
		k.ending++
	case !ending && c.ending:
		k.ending--
	}
	c.ending = ending
}

// forget removes a connection. The caller holds mu.
func (k *Keeper) forget(c *conn) {
	k.setEnding(c, false)
	delete(k.conns, c)
}

// logClosed logs how many connections were closed or refused for lack of room. The log may be slow, so that no lock is
// held meanwhile.
func (k *Keeper) logClosed() {
	k.mu.Lock()
	closed, refused, connections := k.unlogged, k.refusedCount, len(k.conns)
	due := closed > 0 && time.Since(k.logged) >= logInterval
	if due {
		k.logged, k.unlogged = time.Now(), 0
	}
	k.mu.Unlock()
	if !due {
		return
	}
	k.options.Log.Warn().Int("closed", closed).Uint64("refused", refused).Int("connections", connections).
		Int("bound", int(k.options.Bound)).Msg(k.options.Component + ": connections are closed for others")
}

// describe describes the connection to the shedder. The caller holds mu.
func (c *conn) describe() shedder.Connection {
	d := shedder.Connection{Stage: shedder.Serving, Client: c.client, Organisation: c.organisation}
	switch {
	case c.closing:
		d.Stage, d.Since = shedder.Reading, c.readSince
	case c.shed && (c.writeShed || !c.writing):
		d.Stage = shedder.Ending
	case c.idle:
		d.Stage, d.Since = shedder.Idle, c.idleSince
	case c.writing:
		d.Stage, d.Since, d.Bytes = shedder.Writing, c.writeSince, c.taken
	case c.inHead || c.inBody:
		d.Stage, d.Since, d.Bytes = shedder.Reading, c.readSince, c.arrived
	}
	return d
}

// closeForOthers ends the connection unless it has made progress or begun something else since it was ranked. A
// request that has been read meanwhile is still served.
func (c *conn) closeForOthers(now time.Time, victim shedder.Victim) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	current := c.describe()
	if !victim.Holds(now, current) {
		return false
	}
	past := time.Unix(1, 0)
	c.shed = true
	switch {
	case c.closing:
		_ = c.Conn.Close()
	case current.Stage == shedder.Idle:
		// Its reader ends it, after a last read.
		_ = c.Conn.SetReadDeadline(past)
	case current.Stage == shedder.Reading:
		c.readEnded.Store(true)
		_ = c.Conn.SetReadDeadline(past)
	case current.Stage == shedder.Writing:
		c.writeShed = true
		_ = c.Conn.SetWriteDeadline(past)
	}
	return true
}

// isClosed reports whether closeForOthers has closed the connection at once.
func (c *conn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing && c.shed
}

// beginClosing records that the server has sent all that it will.
func (c *conn) beginClosing() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing, c.readSince, c.arrived = true, time.Now(), 0
}

func (c *conn) wasShed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.shed
}

// setBuffers sets the sizes of the kernel's buffers, if the connection has some. A size of 0 is left.
func (c *conn) setBuffers(receive, send int) {
	tcp, ok := c.Conn.(interface {
		SetReadBuffer(bytes int) error
		SetWriteBuffer(bytes int) error
	})
	if !ok {
		return
	}
	// Without it, the kernel's own bounds apply.
	if receive > 0 {
		_ = tcp.SetReadBuffer(receive)
	}
	if send > 0 {
		_ = tcp.SetWriteBuffer(send)
	}
}

// beginHead begins the head of a request. The caller holds mu.
func (c *conn) beginHead() {
	c.inHead, c.lineEmpty, c.headDone, c.shed = true, true, false, false
	c.readSince, c.arrived, c.items = time.Now(), 0, 0
}

// endHead ends the head of a request, which has been read and is served. The caller holds mu.
func (c *conn) endHead() {
	if c.shed {
		c.shed = false
		c.readEnded.Store(false)
		_ = c.Conn.SetReadDeadline(c.readDeadline)
	}
	c.inHead = false
}

// endRequest releases what the last request held. The caller holds mu.
func (c *conn) endRequest() {
	c.inHead, c.inBody = false, false
	if c.releaseHead != nil {
		c.releaseHead()
		c.releaseHead = nil
	}
}

// readBytes counts what has been read. It reserves memory for the head of a request before that is decoded.
func (c *conn) readBytes(data []byte) error {
	c.mu.Lock()
	c.arrived += carawaybeam.Bytes(len(data))
	if !c.inHead || c.keeper.options.Memory == nil {
		c.mu.Unlock()
		return nil
	}
	c.countItems(data)
	items := c.items
	c.mu.Unlock()
	if c.reserveHead(items, c.keeper.options.Memory.ReserveAll) {
		return nil
	}
	c.refuseHead()
	c.mu.Lock()
	defer c.mu.Unlock()
	// The server may read again, and it answers errors of other types.
	c.readErr = &net.OpError{Op: "read", Err: errNoMemory}
	return c.readErr
}

// refuseHead refuses a request whose head has not been decoded. It first reads the rest of the head, as a client
// may read the answer only then.
func (c *conn) refuseHead() {
	defer c.setEnd(End{By: PartyEntry, Cause: CauseOverload})
	buffer := make([]byte, 1<<10)
	for left := c.keeper.options.HeaderBytes; left > 0; left -= len(buffer) {
		c.mu.Lock()
		done := c.headDone
		c.mu.Unlock()
		if done {
			break
		}
		n, err := c.Conn.Read(buffer)
		if err != nil {
			return
		}
		c.mu.Lock()
		c.countItems(buffer[:n])
		c.mu.Unlock()
	}
	_ = c.SetWriteDeadline(time.Now().Add(refusalTime))
	_, _ = c.Write([]byte(headerRefusal))
}

// countItems counts the items in a part of the head, up to the end of the head. The caller holds mu.
func (c *conn) countItems(data []byte) {
	for _, b := range data {
		switch b {
		case '\r':
			continue
		case '\n':
			// Empty lines may come before the first line.
			if c.headDone = c.headDone || c.lineEmpty && c.items > 0; c.headDone {
				return
			}
			if !c.lineEmpty {
				c.items += fieldItems
			}
			c.lineEmpty = true
			continue
		case ',':
			c.items++
		}
		c.lineEmpty = false
	}
}

// reserveHead reserves memory for a head with so many items, unless that was done before.
func (c *conn) reserveHead(items int, reserve func(context.Context, carawaybeam.Bytes) (func(), error)) bool {
	c.mu.Lock()
	enough := items <= freeItems || c.releaseHead != nil
	c.mu.Unlock()
	if enough {
		return true
	}
	release, err := reserve(context.Background(), carawaybeam.Bytes(c.keeper.options.HeaderBytes)*headerCost)
	if err != nil {
		c.keeper.mu.Lock()
		c.keeper.headerCount++
		c.keeper.mu.Unlock()
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.releaseHead = release
	return true
}

// fits reports whether there is memory for the header of a request. It has been reserved before the header
// was decoded, unless that was read with the end of the request before, or over TLS.
func (k *Keeper) fits(r *http.Request) bool {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok || c == nil || k.options.Memory == nil {
		return true
	}
	items := 0
	for _, values := range r.Header {
		items += len(values) * fieldItems
		for _, value := range values {
			items += strings.Count(value, ",")
		}
	}
	return c.reserveHead(items, k.options.Memory.ReserveNow)
}

// isLast counts a request and reports whether it is the last one that its connection may have. A connection on which
// requests are sent ahead has one of them: its client need not read the answers in order to send more.
func (k *Keeper) isLast(r *http.Request) bool {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok || c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests++
	return k.options.MaxRequests > 0 && c.requests >= k.options.MaxRequests || k.bounded() && c.ahead
}

// refuseHeader refuses a request for whose header there is no memory.
func refuseHeader(w http.ResponseWriter, r *http.Request) {
	// What was decoded is not kept while the client reads the answer.
	clear(r.Header)
	w.Header().Set("Retry-After", headerRetryAfter)
	w.Header().Set("Connection", "close")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// writeParts writes part by part, and records the progress.
func (c *conn) writeParts(p []byte) (written int, err error) {
	if !c.keeper.bounded() {
		return c.Conn.Write(p)
	}
	c.mu.Lock()
	c.writing, c.writeSince, c.taken = true, time.Now(), 0
	if c.writeDeadline.IsZero() {
		_ = c.Conn.SetWriteDeadline(c.writeSince.Add(defaultWriteTime))
	}
	c.mu.Unlock()
	for written < len(p) && err == nil {
		var n int
		n, err = c.Conn.Write(p[written:min(len(p), written+writePart)])
		written += n
		c.mu.Lock()
		c.taken += carawaybeam.Bytes(n)
		c.mu.Unlock()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = false
	if c.writeShed && err == nil {
		// The client had taken all of it before the connection was chosen.
		c.shed, c.writeShed = false, false
		_ = c.Conn.SetWriteDeadline(c.writeDeadline)
	}
	return written, err
}

// SetWriteDeadline sets the deadline for writes.
func (c *conn) SetWriteDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeDeadline = deadline
	if c.writeShed {
		return nil
	}
	return c.Conn.SetWriteDeadline(deadline)
}

// BeginBody records that the body of a request is being read. The organisation is the one that sent it, or empty
// if it is not known. From now to EndBody, the connection may be closed for others.
func BeginBody(ctx context.Context, organisation carawaybeam.OrganisationID) {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok || c == nil {
		return
	}
	c.mu.Lock()
	c.inBody, c.organisation = true, organisation
	c.readSince, c.arrived = time.Now(), 0
	c.mu.Unlock()
}

// Enlarge lets the kernel receive more of a body at once. It is to be called once memory is reserved for the body:
// what clients send that still wait for it counts towards the memory of the VM as well.
func Enlarge(ctx context.Context) {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok || c == nil || !c.keeper.bounded() {
		return
	}
	c.mu.Lock()
	c.enlarged = true
	c.mu.Unlock()
	c.setBuffers(bodyBuffer, 0)
}

// beginBody records that the rest of the body of a request may be read.
func beginBody(ctx context.Context) {
	if c, ok := ctx.Value(connKey{}).(*conn); ok && c != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.inBody, c.readSince, c.arrived = true, time.Now(), 0
	}
}

// EndBody records that the body of a request has been read or given up. It reports whether its connection is
// being closed for others, in which case the request must be refused.
func EndBody(ctx context.Context) (overloaded bool) {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok || c == nil {
		return false
	}
	c.mu.Lock()
	enlarged, overloaded := c.enlarged, c.shed
	c.inBody, c.enlarged = false, false
	c.mu.Unlock()
	if enlarged {
		c.setBuffers(receiveBuffer, 0)
	}
	return overloaded
}

// AbortBody ends the read of the body of a request.
func AbortBody(ctx context.Context) {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok || c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inBody {
		c.shed = true
		c.readEnded.Store(true)
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
}
