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
	// macBytes is the length of the authentication code in front of the payload.
	macBytes = 16
	// maxDatagramBytes keeps a datagram below the usual path MTU. An update that does not fit is left to the next
	// heartbeat.
	maxDatagramBytes = 1400
)

// errBadDatagram is returned for a datagram that is too short, not authentic or not a message.
var errBadDatagram = errors.New("peer: datagram is not authentic")

// Datagrams sends and receives load updates. Placement needs them within milliseconds, they may be lost since
// heartbeats correct them, and a twirp call would cost several times their bytes; so they go by UDP, on the port
// number of the peer address. They are authenticated by the peer token and hold only endpoint names and counts.
type Datagrams struct {
	conn  *net.UDPConn
	token []byte
}

// ListenDatagrams binds the UDP port of the peer address (IP:port).
func ListenDatagrams(address, token string) (*Datagrams, error) {
	local, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(local))
	if err != nil {
		return nil, err
	}
	return &Datagrams{conn: conn, token: []byte(token)}, nil
}

// Close ends Receive.
func (d *Datagrams) Close() {
	_ = d.conn.Close()
}

func (d *Datagrams) mac(payload []byte) []byte {
	h := hmac.New(sha256.New, d.token)
	h.Write(payload)
	return h.Sum(nil)[:macBytes]
}

// Encode returns the datagram of an update, or nil where it does not fit.
func (d *Datagrams) Encode(update *LoadUpdate) []byte {
	payload, err := proto.Marshal(update)
	if err != nil || len(payload)+macBytes > maxDatagramBytes {
		return nil
	}
	return append(d.mac(payload), payload...)
}

// Send sends a datagram to a peer address. Errors are those of the local socket; a lost datagram gives none.
func (d *Datagrams) Send(address string, datagram []byte) error {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return err
	}
	_, err = d.conn.WriteToUDPAddrPort(datagram, to)
	return err
}

// Receive returns the next authentic update. Other datagrams are dropped. An error means that the socket is closed.
func (d *Datagrams) Receive() (*LoadUpdate, error) {
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

func (d *Datagrams) decode(datagram []byte) (*LoadUpdate, error) {
	if len(datagram) < macBytes {
		return nil, errBadDatagram
	}
	payload := datagram[macBytes:]
	if !hmac.Equal(datagram[:macBytes], d.mac(payload)) {
		return nil, errBadDatagram
	}
	update := &LoadUpdate{}
	if err := proto.Unmarshal(payload, update); err != nil {
		return nil, errBadDatagram
	}
	return update, nil
}
