package rillyard.membership.net;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import rillyard.membership.LoopHealth;
import rillyard.membership.MemberAttribute;
import rillyard.membership.MemberSnapshot;
import rillyard.membership.MemberUpdate;
import rillyard.membership.Membership;

/** All that a member holds, as a JSON object on one line. */
final class MembershipView {
    private static final ObjectMapper JSON = new ObjectMapper();

    private MembershipView() {}

    /**
     * Writes it.
     *
     * @param startedUnix when this process started, Unix time (ms)
     * @param now ms since then
     */
    static String of(Membership m, long startedUnix, double now, ResourceUsage costs) {
        Map<String, MemberAttribute> health = m.facts(now, LoopHealth.FACT);
        Map<String, String> names = new HashMap<>();
        List<MemberSnapshot> seen = m.seen();
        seen.forEach(s -> names.put(
                "#" + MemberUpdate.by(s.word().card().name()), s.word().card().name()));
        names.put("#" + m.self().by(), m.self().card().name());
        ObjectNode n = JSON.createObjectNode();
        n.put("at", startedUnix + (long) now).put("over", m.over()).put("present", m.present());
        n.put("distrust", m.distrust());
        n.set("self", word(m.self(), health));
        ArrayNode members = n.putArray("members");
        for (MemberSnapshot s : seen) {
            ObjectNode o = word(s.word(), health);
            o.put("since", startedUnix + (long) s.since()).put("by", names.getOrDefault(s.by(), s.by()));
            members.add(o);
        }
        n.putObject("costs")
                .put("datagrams_sent", costs.sent)
                .put("bytes_sent", costs.sentBytes)
                .put("datagrams_received", costs.received)
                .put("bytes_received", costs.receivedBytes)
                .put("turned_away", costs.turnedAway)
                .put("busy_ms", costs.busyNanos / 1_000_000)
                .put("up_ms", (long) now);
        return n.toString();
    }

    private static ObjectNode word(MemberUpdate u, Map<String, MemberAttribute> health) {
        ObjectNode o = JSON.createObjectNode();
        o.put("name", u.card().name())
                .put("address", u.card().at().toString())
                .put("zone", u.card().zone());
        o.put("region", u.card().region())
                .put("status", u.status().name())
                .put("start", u.life().start());
        o.put("incarnation", u.life().incarnation());
        MemberAttribute f = health.get(u.card().name());
        int level = f == null ? 0 : f.value()[0];
        // Members say it when it changes: who has never been anything else has said nothing.
        boolean known = level >= 0 && level < LoopHealth.Level.values().length;
        o.put("loop", known ? LoopHealth.Level.values()[level].name() : "unknown");
        return o;
    }
}
