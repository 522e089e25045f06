package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	// crowdShare is one in how many seeds have crowds.
	crowdShare = 3
	// minCrowds and extraCrowds are to the number of crowds what minFaults and extraFaults are to
	// that of actions.
	minCrowds, extraCrowds = 2, 4
	// maxCrowd is the greatest number of callers of a crowd, more than a node has room for.
	maxCrowd = 150
	// crowdLines is the number of header lines of a request that takes much memory.
	crowdLines = 2500
)

// injectCrowds lets crowds of callers open connections to a node, in some seeds, and returns a
// description. They send a part of a request or nothing and keep the connections open. Time bounds
// apply beside them: a node may refuse requests, but it closes none that it has read.
func (s *system) injectCrowds(rnd *rand.Rand) string {
	if rnd.IntN(crowdShare) != 0 {
		return "no crowds"
	}
	var crowds []string
	var running sync.WaitGroup
	for i := range minCrowds + rnd.IntN(extraCrowds) {
		n, callers, at := pickOne(rnd, s.nodes), rnd.IntN(maxCrowd), time.Duration(rnd.Int64N(int64(faultPeriod)))
		duration := time.Duration(rnd.Int64N(int64(maxFaultDuration)))
		text := pickOne(rnd, crowdTexts(i))
		crowds = append(crowds, fmt.Sprintf("%5.2fs %d callers at %s send %d bytes and stay for %s", at.Seconds(), callers, n.name, len(text), duration))
		running.Go(func() {
			time.Sleep(at)
			for range callers {
				running.Go(func() { stall(n.callers, text, duration) })
			}
		})
	}
	running.Wait()
	return strings.Join(crowds, "\n")
}

// crowdTexts returns beginnings of requests. No leaf may run one.
func crowdTexts(i int) []string {
	head := fmt.Sprintf("POST /order/crowd HTTP/1.1\r\nHost: %s\r\nX-Request-Id: crowd-%d\r\n", host, i)
	return []string{
		"", head, head + strings.Repeat("x:\r\n", crowdLines),
		head + "Content-Length: 900\r\n\r\n" + strings.Repeat("b", 899),
		head + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nc\r\n", 900),
	}
}

// stall opens a connection, sends a text and closes the connection after a time.
func stall(address, text string, duration time.Duration) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	// An error means that the node has closed the connection.
	_ = conn.SetDeadline(time.Now().Add(duration))
	if _, err := io.WriteString(conn, text); err == nil {
		_, _ = io.Copy(io.Discard, conn)
	}
}
