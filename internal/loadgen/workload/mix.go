package workload

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// workspace is a caller's workspace with its relative weight in the mix.
type workspace struct {
	name    string
	weight  float64
	patient bool
}

// requestKind is one kind of request in a mix.
type requestKind struct {
	kind   Kind
	weight float64
	// workspaces are the workspaces that send this kind.
	workspaces []workspace
	// model is set for generations, method and path for calls to plain services.
	model     string
	maxTokens int
	// promptStart is the beginning of the prompt; the engine stand-in chooses the length
	// distribution by its words. promptTokens is the range of the number of random tokens at
	// the end.
	promptStart         string
	promptTokens        [2]int
	method              string
	path                string
	needsIdempotencyKey bool
}

type mix struct {
	name  Mix
	kinds []requestKind
}

// inyangeClubs are the workspaces of Inyange; the three large ones send three quarters of the
// requests.
var inyangeClubs = []workspace{
	{name: "kigali-flyers", weight: 35},
	{name: "huye-gliders", weight: 25},
	{name: "musanze-aero", weight: 15},
	{name: "rubavu-wings", weight: 4},
	{name: "nyanza-models", weight: 4},
	{name: "rwamagana-club", weight: 4},
	{name: "muhanga-pilots", weight: 4},
	{name: "kibuye-soarers", weight: 3},
	{name: "byumba-juniors", weight: 2},
	{name: "field-marshals", weight: 4},
}

// mavunoSchools and mavunoCooperatives are the workspaces of Mavuno: schools request plans,
// cooperatives check delivery notes.
var (
	mavunoSchools = []workspace{
		{name: "nairobi-schools", weight: 40, patient: true},
		{name: "kiambu-schools", weight: 30, patient: true},
		{name: "machakos-schools", weight: 12, patient: true},
		{name: "kajiado-schools", weight: 8, patient: true},
		{name: "thika-schools", weight: 10, patient: true},
	}
	mavunoCooperatives = []workspace{
		{name: "limuru-greens", weight: 40},
		{name: "kirinyaga-growers", weight: 30},
		{name: "embu-cooperative", weight: 15},
		{name: "nyeri-cooperative", weight: 15},
	}
)

var mixes = map[Mix]mix{
	Inyange: {name: Inyange, kinds: []requestKind{
		{kind: KindVerdict, weight: 40, workspaces: inyangeClubs, model: "airworthiness", maxTokens: 1024, promptStart: "Give an airworthiness verdict", promptTokens: [2]int{40, 300}},
		{kind: KindBriefing, weight: 40, workspaces: inyangeClubs, model: "flight-briefing", maxTokens: 8192, promptStart: "Write a flight-log briefing", promptTokens: [2]int{100, 1200}},
		{kind: KindRoster, weight: 12, workspaces: inyangeClubs, method: http.MethodGet, path: "/v1/services/club-desk/rosters/today"},
		{kind: KindBooking, weight: 6, workspaces: inyangeClubs, method: http.MethodPost, path: "/v1/services/club-desk/bookings", needsIdempotencyKey: true},
		{kind: KindFee, weight: 2, workspaces: inyangeClubs, method: http.MethodPost, path: "/v1/services/club-desk/fees", needsIdempotencyKey: true},
	}},
	Mavuno: {name: Mavuno, kinds: []requestKind{
		{kind: KindPlan, weight: 35, workspaces: mavunoSchools, model: "menu-planner", maxTokens: 12000, promptStart: "Draft the weekly menu-to-order plan", promptTokens: [2]int{200, 1500}},
		{kind: KindNote, weight: 30, workspaces: mavunoCooperatives, model: "note-checker", maxTokens: 2048, promptStart: "Check this delivery note", promptTokens: [2]int{60, 500}},
		{kind: KindStock, weight: 20, workspaces: mavunoSchools, method: http.MethodGet, path: "/v1/services/orders/stock/sukuma-wiki"},
		{kind: KindConfirmation, weight: 15, workspaces: mavunoCooperatives, method: http.MethodPost, path: "/v1/services/orders/confirmations", needsIdempotencyKey: true},
	}},
}

const (
	// sharedPrefixTokens is the number of prompt tokens shared by all requests of a kind and
	// workspace.
	sharedPrefixTokens = 192
	// wordFormat formats one word of a prompt, which the stand-in counts as one token.
	wordFormat = "%03x "
)

func (m mix) drawRequest(rng *rand.Rand, kinds []requestKind, seq int, offset time.Duration, seed uint64) Request {
	k := kinds[pickWeighted(rng, len(kinds), func(i int) float64 { return kinds[i].weight })]
	w := k.workspaces[pickWeighted(rng, len(k.workspaces), func(i int) float64 { return k.workspaces[i].weight })]
	r := Request{
		Seq: seq, ArrivalOffset: offset, Kind: k.kind, Workspace: w.name, Patient: w.patient,
		Token: string(m.name) + "-" + w.name,
	}
	if k.model != "" {
		r.Generation = &Generation{Model: k.model, MaxTokens: k.maxTokens, Prompt: k.promptText(rng, w.name)}
		return r
	}
	r.Call = &Call{Method: k.method, Path: k.path}
	if k.needsIdempotencyKey {
		r.Call.IdempotencyKey = fmt.Sprintf("%s-%x-%d", k.kind, seed, seq)
		r.Call.Body = fmt.Sprintf(`{"kind":%q,"number":%d}`, k.kind, seq)
	}
	return r
}

// promptText returns a prompt: the shared prefix, then random words.
func (k requestKind) promptText(rng *rand.Rand, workspace string) string {
	var b strings.Builder
	b.WriteString(k.promptStart + " for " + workspace + ". ")
	for i := range sharedPrefixTokens {
		fmt.Fprintf(&b, wordFormat, i)
	}
	n := k.promptTokens[0] + rng.IntN(k.promptTokens[1]-k.promptTokens[0])
	for range n {
		fmt.Fprintf(&b, wordFormat, rng.IntN(1<<12))
	}
	return b.String()
}

// pickWeighted returns a random index, chosen by weight.
func pickWeighted(rng *rand.Rand, n int, weight func(int) float64) int {
	total := 0.0
	for i := range n {
		total += weight(i)
	}
	remaining := rng.Float64() * total
	for i := range n {
		if remaining -= weight(i); remaining < 0 {
			return i
		}
	}
	return n - 1
}
