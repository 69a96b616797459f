package peer

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"net"
	"net/netip"

	"google.golang.org/protobuf/proto"
)

const (
	// macBytes is the length of the message authentication code (truncated HMAC-SHA256) that precedes the payload.
	macBytes = 16
	// maxDatagramBytes is below the usual path MTU. An update that does not fit is not sent; the next heartbeat
	// contains it.
	maxDatagramBytes = 1400
)

// errInvalidDatagram is returned for a datagram that is too short, not authentic or not a valid message.
var errInvalidDatagram = errors.New("peer: datagram is malformed or not authentic")

// DatagramSocket is a UDP socket that sends and receives load updates. UDP fits because placement needs updates within
// milliseconds, heartbeats correct lost ones, and a twirp call would take several times the bytes. The UDP port has
// the number of the peer address's TCP port. Updates are authenticated, but not encrypted, with the peer token, and
// contain only endpoint names and counts.
type DatagramSocket struct {
	conn  *net.UDPConn
	token []byte
}

// ListenDatagrams returns a socket bound to the UDP port of address (IP:port).
func ListenDatagrams(address, token string) (*DatagramSocket, error) {
	local, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(local))
	if err != nil {
		return nil, err
	}
	return &DatagramSocket{conn: conn, token: []byte(token)}, nil
}

// Close closes the socket, which makes Receive return an error.
func (d *DatagramSocket) Close() {
	_ = d.conn.Close()
}

// mac returns the message authentication code of payload.
func (d *DatagramSocket) mac(payload []byte) []byte {
	h := hmac.New(sha256.New, d.token)
	h.Write(payload)
	return h.Sum(nil)[:macBytes]
}

// Encode returns update as a datagram, or nil if it exceeds the size of a datagram or cannot be encoded.
func (d *DatagramSocket) Encode(update *LoadUpdate) []byte {
	payload, err := proto.Marshal(update)
	if err != nil || len(payload)+macBytes > maxDatagramBytes {
		return nil
	}
	return append(d.mac(payload), payload...)
}

// Send sends a datagram to the peer at address (IP:port). It returns an error only for an invalid address or a failure
// of the local socket, not if the datagram is lost.
func (d *DatagramSocket) Send(address string, datagram []byte) error {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return err
	}
	_, err = d.conn.WriteToUDPAddrPort(datagram, to)
	return err
}

// Receive waits for the next authentic update and returns it. It drops other datagrams. It returns an error only after
// the socket was closed.
func (d *DatagramSocket) Receive() (*LoadUpdate, error) {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, _, err := d.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		if err != nil {
			continue
		}
		if update, err := d.decode(buf[:n]); err == nil {
			return update, nil
		}
	}
}

// decode checks the authentication code of a datagram and returns its update.
func (d *DatagramSocket) decode(datagram []byte) (*LoadUpdate, error) {
	if len(datagram) < macBytes {
		return nil, errInvalidDatagram
	}
	payload := datagram[macBytes:]
	if !hmac.Equal(datagram[:macBytes], d.mac(payload)) {
		return nil, errInvalidDatagram
	}
	update := &LoadUpdate{}
	if err := proto.Unmarshal(payload, update); err != nil {
		return nil, errInvalidDatagram
	}
	return update, nil
}
