package load

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/corneldeal/corneldeal/lab/engine"
	"github.com/corneldeal/corneldeal/pkg/route"
)

// bytesPerToken converts prompt bytes to tokens.
const bytesPerToken = 4

// recentOrders is the number of orders per catalogue that follow-up requests may return to.
const recentOrders = 4

// popularity is the exponent of the catalogues' Zipf law: a few prefixes are very hot.
const popularity = 1.1

// Arrival is one request and the time at which it is sent.
type Arrival struct {
	// At is the time since the start of the run.
	At        time.Duration
	Workspace string
	// Messages is the prompt; empty for a call of the plain service.
	Messages  []route.Message
	MaxTokens int
	// Tokens is the charge: prompt and allowed output.
	Tokens int64
	// Booking is the idempotency key of a non-idempotent call, or empty.
	Booking string
	// Lookup is the path of an idempotent call, or empty.
	Lookup string
}

// chat tells whether the arrival is a chat request.
func (a *Arrival) chat() bool {
	return len(a.Messages) > 0
}

// Arrivals returns the requests of one run in order of time. Equal arguments give equal arrivals.
func Arrivals(p Profile, seed uint64, length time.Duration) []Arrival {
	var out []Arrival
	for i, w := range p.Workspaces {
		g := newGenerator(p, w, seed, uint64(i), length)
		out = append(out, g.chats()...)
		out = append(out, g.calls()...)
	}
	slices.SortStableFunc(out, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	return out
}

// generator draws the arrivals of one workspace.
type generator struct {
	p      Profile
	w      Workspace
	length time.Duration
	rng    *rand.Rand
	rules  string
	// catalogues and weights are in order of popularity before the shift.
	catalogues []string
	cumulative []float64
	orders     [][]string
	made       int
}

func newGenerator(p Profile, w Workspace, seed, stream uint64, length time.Duration) *generator {
	g := &generator{
		p:      p,
		w:      w,
		length: length,
		rng:    rand.New(rand.NewPCG(seed, stream)),
		rules:  filler(fmt.Sprintf("%s house rules", w.Name), p.RulesBytes),
		orders: make([][]string, w.Catalogues),
	}
	sum := 0.0
	for i := range w.Catalogues {
		g.catalogues = append(g.catalogues, filler(fmt.Sprintf("%s catalogue %d", w.Name, i), p.CatalogueBytes))
		sum += 1 / math.Pow(float64(i+1), popularity)
		g.cumulative = append(g.cumulative, sum)
	}
	return g
}

// filler returns text of the given size that differs from the text of another title in every line.
func filler(title string, size int) string {
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, "%s, line %d of the text. ", title, i)
	}
	return b.String()[:size]
}

func (g *generator) chats() []Arrival {
	var out []Arrival
	rate := g.p.RequestsPerSecond * g.w.Share
	peak := rate * max(1, g.w.Overload)
	for t := g.gap(peak); t < g.length; t += g.gap(peak) {
		if g.rng.Float64()*peak < rate*g.factor(t) {
			out = append(out, g.chat(t))
		}
	}
	return out
}

// gap draws the time between two arrivals of a Poisson process.
func (g *generator) gap(rate float64) time.Duration {
	return time.Duration(g.rng.ExpFloat64() / rate * float64(time.Second))
}

// factor is the multiple of its rate at which the workspace sends.
func (g *generator) factor(t time.Duration) float64 {
	if g.w.overloading() && t >= at(g.length, overloadFrom) && t < at(g.length, overloadTo) {
		return g.w.Overload
	}
	return 1
}

func (g *generator) chat(t time.Duration) Arrival {
	c := g.catalogue(t)
	order := g.order(c)
	g.made++
	question := filler(fmt.Sprintf("%s question %d", g.w.Name, g.made), questionBytes/2+g.rng.IntN(questionBytes))
	messages := []route.Message{
		{Role: "system", Content: g.rules},
		{Role: "system", Content: g.catalogues[c]},
		{Role: "user", Content: order},
		{Role: "user", Content: question},
	}
	output := g.p.MinOutput + g.rng.IntN(g.p.MaxOutput-g.p.MinOutput+1)
	return Arrival{
		At:        t,
		Workspace: g.w.Name,
		Messages:  messages,
		MaxTokens: output,
		Tokens:    int64(engine.PromptTokens(messages) + output),
	}
}

// catalogue draws a catalogue. After the shift the popularity moves to others.
func (g *generator) catalogue(t time.Duration) int {
	x := g.rng.Float64() * g.cumulative[len(g.cumulative)-1]
	rank, _ := slices.BinarySearch(g.cumulative, x)
	rank = min(rank, g.w.Catalogues-1)
	if t >= at(g.length, shiftAt) {
		return g.w.Catalogues - 1 - rank
	}
	return rank
}

// order draws a recent order of the catalogue or a new one.
func (g *generator) order(c int) string {
	recent := g.orders[c]
	if len(recent) > 0 && g.rng.Float64() < g.p.FollowUps {
		return recent[g.rng.IntN(len(recent))]
	}
	text := filler(fmt.Sprintf("%s order %d", g.w.Name, g.made), g.p.OrderBytes)
	recent = append(recent, text)
	g.orders[c] = recent[max(0, len(recent)-recentOrders):]
	return text
}

// calls draws calls of the plain service, alternately lookups and bookings.
func (g *generator) calls() []Arrival {
	var out []Arrival
	rate := g.p.CallsPerSecond * g.w.Share
	if rate <= 0 {
		return nil
	}
	for t := g.gap(rate); t < g.length; t += g.gap(rate) {
		a := Arrival{At: t, Workspace: g.w.Name, Tokens: 1}
		name := fmt.Sprintf("%s-%d", g.w.Name, len(out))
		if len(out)%2 == 0 {
			a.Lookup = name
		} else {
			a.Booking = name
		}
		out = append(out, a)
	}
	return out
}

// chatBody is the JSON body of a chat request.
type chatBody struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
	Options   streamOptions `json:"stream_options"`
	// The fields below are set only towards an engine.
	CacheSalt  string `json:"cache_salt,omitempty"`
	Version    string `json:"version,omitempty"`
	ResumeFrom int    `json:"resume_from,omitempty"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// body returns the chat request of the arrival.
func (a *Arrival) body() chatBody {
	b := chatBody{
		Model:     Model,
		MaxTokens: a.MaxTokens,
		Stream:    true,
		Options:   streamOptions{IncludeUsage: true},
	}
	for _, m := range a.Messages {
		b.Messages = append(b.Messages, chatMessage{Role: m.Role, Content: m.Content})
	}
	return b
}

func (b chatBody) json() []byte {
	data, err := json.Marshal(b)
	if err != nil {
		panic(err)
	}
	return data
}
