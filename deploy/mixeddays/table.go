package main

// core is the class of the hosts whose loss counts.
const core = "core"

// allWorkers is the scope in which all workers of a service are struck, whatever the share is.
const allWorkers = "all"

// Names that stand for those of any site.
const (
	firstService = "@s0"
	firstZone    = "@z0"
	secondZone   = "@z1"
)

// classes holds the kinds of request of any site.
var classes = []string{"@c0", "@c1", "@c2"}

var (
	// hostSelectors name the host that is struck.
	hostSelectors = Option{"turn", "leader", "reader", "giver", "renewed", "follower", "seed"}

	// workerScopes spread what strikes workers over all copies of a service, or spare none.
	workerScopes = Option{"across", allWorkers}

	// cutForms replace the silence of a cut.
	cutForms = Option{"reset", "refuse"}

	// onReturn holds what meets a host as it returns or during a cut.
	onReturn = []Option{{"meet"}, {"race"}, {"hard"}, {"drain"}}

	// cutOptions holds the words of cuts between hosts. With revoke, the keys of those that are cut off are taken away at once.
	cutOptions = append([]Option{cutForms, {"revoke"}}, onReturn...)
)

// rows lists all kinds and variants of disruptions.
var rows = []Row{
	{Kind: "burst", Place: PlaceClassOrZone, Length: Range{4, 20}, X: Range{1.3, 2.8}},
	{Kind: "shift", Place: PlaceToZone, Length: Range{4, 8}, Share: Range{30, 70}},
	{Kind: "give_up", Length: Range{4, 10}, Share: Range{20, 40}, Variants: []Variant{
		{}, {How: "once"}, {How: "prompt", X: Range{100, 900}},
	}},
	{Kind: "hot_key", Place: PlaceClass, Length: Range{4, 7}, Share: Range{40, 70}},
	{Kind: "poison", Place: PlaceClass, Length: Range{2, 6}, Share: Range{3, 12}, Variants: []Variant{
		{}, {How: "long", X: Range{2, 5}}, {How: "deadly"},
	}},

	{Kind: "srv_crash", Scope: ScopeWorkers, Place: PlaceService, Length: Range{2, 10}, Share: Range{5, 18}, Variants: []Variant{
		{}, {How: "dark"}, {How: "gone", Removes: RemovesWorkers}, {How: "dark gone", Removes: RemovesWorkers},
		{How: "domain"}, {How: "joined"}, {How: "rack"}, {How: "dark rack"},
	}},
	{Kind: "srv_slow", Scope: ScopeWorkers, Place: PlaceService, Length: Range{4, 10}, Share: Range{8, 25}, X: Range{3, 7}, Variants: []Variant{
		{}, {How: "shrunk", X: Range{0.4, 0.8}},
	}},
	{Kind: "srv_grey", Scope: ScopeWorkers, Place: PlaceService, Length: Range{3, 8}, Share: Range{5, 20}, X: Range{0.3, 1}, Variants: []Variant{
		{}, {How: "errors"}, {How: "shed"}, {How: "busy"}, {How: "hang"}, {How: "reset"}, {How: "mute"},
		{How: "slow", X: Range{4, 10}},
		{How: "errors one_zone", Place: PlaceToZone}, {How: "hang one_zone", Place: PlaceToZone},
		{How: "shed one_zone", Place: PlaceToZone}, {How: "busy one_zone", Place: PlaceToZone},
		{How: "reset one_zone", Place: PlaceToZone}, {How: "mute one_zone", Place: PlaceToZone},
		{How: "slow one_zone", Place: PlaceToZone, X: Range{4, 10}},
	}},
	{Kind: "srv_lying_health", Scope: ScopeWorkers, Place: PlaceService, Length: Range{4, 8}, Share: Range{5, 20}, Variants: []Variant{
		{How: "errors"}, {How: "hang"}, {How: "reset"}, {How: "bad"},
	}},
	{Kind: "srv_flap", Scope: ScopeWorkers, Place: PlaceService, Length: Range{4, 10}, Share: Range{5, 20}, Gap: Range{0.8, 3}},
	{Kind: "srv_cut", Scope: ScopeWorkers, Place: PlaceService, Length: Range{3, 9}, Share: Range{8, 25}, Variants: []Variant{
		{}, {How: "one_way"}, {How: "reset"}, {How: "refuse"}, {How: "reborn"},
		{How: "fronts", X: Range{0.2, 0.5}}, {How: "some", X: Range{0.2, 0.5}}, {How: "some lossy", X: Range{0.2, 0.5}},
	}},
	{Kind: "answer_lost", Scope: ScopeWorkers, Place: PlaceService, Length: Range{3, 8}, Share: Range{30, 70}, X: Range{0.02, 0.08}},
	{Kind: "scale_out", Section: Plan, Share: Range{10, 30}, Gap: Range{1, 3}},
	{Kind: "scale_in", Section: Plan, Share: Range{3, 14}, Options: []Option{{"across"}}, Variants: []Variant{
		{Removes: RemovesWorkers},
		{How: "spot", X: Range{1.5, 3}},
		{How: "reclaim", X: Range{2, 3}, Length: Range{4, 9}, Removes: RemovesWorkers, Removed: maxRemoved},
		{How: "reclaim dry", X: Range{2, 3}, Length: Range{4, 9}, Removes: RemovesWorkers, Removed: maxRemoved},
	}},

	{Kind: "node_kill", Scope: ScopeHosts, Length: Range{1, 5}, Share: Range{10, 35}, Options: onReturn, Variants: []Variant{
		{}, {How: "power"}, {How: "power wipe"},
	}},
	{Kind: "node_freeze", Scope: ScopeHosts, Length: Range{2, 8}, Share: Range{10, 35}, Options: onReturn},
	{Kind: "node_slow", Scope: ScopeHosts, Length: Range{4, 10}, Share: Range{10, 35}, X: Range{3, 6}},
	{Kind: "roll_term", Section: Plan, Scope: ScopeHosts, Share: Range{10, 100}, X: Range{1, 2}, Gap: Range{0.8, 2}, Options: onReturn, Variants: []Variant{
		{}, {How: "remove", Removes: RemovesHosts}, {How: "starter"}, {How: "busy"},
	}},
	{Kind: "herd_kill", Scope: ScopeAllHosts, Length: Range{1.5, 6}, Share: Range{40, 100}, Variants: []Variant{
		{}, {How: "power"}, {How: "off"}, {How: "taken"}, {How: "taken all"}, {How: "power taken"}, {How: "power taken all"},
	}},
	{Kind: "add_nodes", Section: Plan, Count: Range{1, 2}},
	{Kind: "replace_core", Scope: ScopeOneHost, X: Range{1, 4}, Variants: []Variant{
		{}, {How: "oldest"}, {How: "planned", Section: Plan},
	}},
	{Kind: "after_ack_kill", Length: Range{1.5, 4}, Count: Range{1, 2}, Variants: []Variant{
		{}, {How: "kill"}, {How: "timed"}, {How: "taken"},
		{How: "taken gone", Count: Range{1, 1}, Removes: RemovesHosts},
	}},
	{Kind: "hup", Section: Plan, Scope: ScopeHosts, Options: onReturn, Share: Range{30, 100}, Gap: Range{0.5, 2}},
	{Kind: "clock_step", Scope: ScopeHosts, Length: Range{3, 60}, Share: Range{20, 100}, X: Range{500, 3000}, Variants: []Variant{
		{}, {How: "back", X: Range{500, 60_000}}, {How: "ahead", X: Range{1000, 600_000}},
	}},

	{Kind: "zone_cut", Place: PlaceZone, Length: Range{4, 9}, Options: cutOptions},
	{Kind: "zone_loss", Place: PlaceZone, Length: Range{2, 7}},
	{Kind: "core_cut", Scope: ScopeOneHost, Length: Range{3, 8}, Options: cutOptions, Variants: []Variant{
		{}, {How: "behind"}, {How: "split"}, {How: "all"}, {How: "near"}, {How: "oldest"}, {How: "one_way"},
		{How: "seeds"}, {How: "both"}, {How: "lure"}, {How: "relieve"},
	}},
	{Kind: "node_cut", Scope: ScopeHosts, Length: Range{3, 9}, Share: Range{10, 35}, Options: cutOptions, Variants: []Variant{
		{}, {How: "all"}, {How: "one_way"},
	}},
	{Kind: "node_cut", Scope: ScopeWorkers, Place: PlaceService, Length: Range{3, 9}, Share: Range{8, 25}, Options: []Option{cutForms}, Variants: []Variant{
		{How: "servers"}, {How: "servers reborn"}, {How: "servers one_way"},
	}},
	{Kind: "one_way", Place: PlaceBetweenZones, Length: Range{3, 9}, Options: cutOptions},
	{Kind: "one_way", Place: PlaceZone, Length: Range{3, 9}, Options: cutOptions, Variants: []Variant{{How: "all"}, {How: "all in"}}},
	{Kind: "bridge_cut", Place: PlaceBetweenZones, Length: Range{3, 9}, Options: cutOptions},
	{Kind: "lossy", Place: PlaceZone, Length: Range{4, 9}, X: Range{0.01, 0.05}},
	{Kind: "reset_conns", Scope: ScopeHosts, Share: Range{10, 40}, X: Range{0.3, 0.7}},

	{Kind: "platform_down", Length: Range{2, 6}, Variants: []Variant{
		{How: "silent", Options: []Option{{"lapse"}}},
		{How: "busy", Options: []Option{{"lapse"}}},
		{How: "reset", Options: []Option{{"lapse"}}},
	}},
	{Kind: "platform_down", Length: Range{3, 10}, Share: Range{20, 50}, Options: append([]Option{{"leader"}, {"revoke"}}, onReturn...), Variants: []Variant{
		{How: "nodes"}, {How: "nodes busy"}, {How: "nodes many"}, {How: "nodes reset"},
	}},
	{Kind: "platform_slow", Length: Range{3, 7}, X: Range{20, 80}},
	{Kind: "platform_lost", Length: Range{3, 8}, X: Range{0.2, 0.4}, Variants: []Variant{{}, {How: "late"}}},
	{Kind: "platform_compact", Length: Range{3, 12}, X: Range{2, 7}, Variants: []Variant{
		{}, {How: "drain"}, {How: "keyed"}, {How: "rebalance"}, {How: "rewind"},
	}},
	{Kind: "cloud_down", Length: Range{3, 6}, Variants: []Variant{{How: "silent"}, {How: "busy"}, {How: "reset"}}},
	{Kind: "cloud_slow", Length: Range{3, 7}, X: Range{20, 80}},

	{Kind: "config_change", Section: Plan, Variants: []Variant{
		{}, {How: "route"}, {How: "weights"}, {How: "timeout"}, {How: "tenant"}, {How: "quota"}, {How: "quota down"},
		{How: "topup"}, {How: "idle"},
	}},
	{Kind: "config_storm", Section: Plan, Length: Range{1.5, 5}, Gap: Range{0.08, 0.5}},
	{Kind: "config_storm", Section: Plan, Count: Range{5, 40}, Gap: Range{0.08, 0.5}},
	{Kind: "big_config", Section: Plan, Count: Range{100, 1400}},
	{Kind: "evacuate", Section: Plan, Place: PlaceZone, Length: Range{4, 12}, Variants: []Variant{{}, {How: "warm"}}},
	{Kind: "applied_late", Length: Range{4, 16}, X: Range{0.03, 0.2}, Variants: []Variant{
		{}, {How: "orders"}, {How: "cloud"}, {How: "grants"}, {How: "all"},
	}},
}

// crashRows lists what makes workers crash, in a length and share that lets the same ones crash several times a day.
var crashRows = []Row{
	{Kind: "srv_crash", Scope: ScopeWorkers, Place: PlaceService, Length: Range{1, 4}, Share: Range{10, 60}, Variants: []Variant{
		{}, {How: "dark"}, {How: "domain"}, {How: "joined"}, {How: "rack"},
	}},
	{Kind: "srv_cut", Scope: ScopeWorkers, Place: PlaceService, Length: Range{2, 6}, Share: Range{10, 60}, Variants: []Variant{{How: "reborn"}}},
	{Kind: "node_cut", Scope: ScopeWorkers, Place: PlaceService, Length: Range{2, 6}, Share: Range{10, 60}, Variants: []Variant{
		{How: "servers reborn"},
	}},
	{Kind: "zone_loss", Place: PlaceZone, Length: Range{1, 3}},
	{Kind: "herd_kill", Length: Range{1.5, 4}, Share: Range{40, 100}, Variants: []Variant{{How: "taken all"}}},
}

// closings lists all kinds and forms of final faults.
var closings = []ClosingRow{
	{Kind: "power_off_all", Hows: []string{"", "all", "timed", "taken", "oldest", "timed all", "taken all"}},
	{Kind: "wipe_after_ack", Hows: []string{"", "all", "timed", "taken", "oldest", "timed all", "taken all"}},
	{Kind: "kill_all", Hows: []string{"", "timed", "taken"}},
}
