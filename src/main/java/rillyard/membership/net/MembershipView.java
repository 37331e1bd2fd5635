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
    static String of(Membership membership, long startedUnix, double now, ResourceUsage costs) {
        Map<String, MemberAttribute> health = membership.attributes(now, LoopHealth.FACT);
        Map<String, String> names = new HashMap<>();
        List<MemberSnapshot> seen = membership.snapshot();
        seen.forEach(member -> names.put(
                "#" + MemberUpdate.by(member.word().identity().name()),
                member.word().identity().name()));
        names.put("#" + membership.self().by(), membership.self().identity().name());
        ObjectNode node = JSON.createObjectNode();
        node.put("at", startedUnix + (long) now)
                .put("over", membership.hasLeft())
                .put("present", membership.present());
        node.put("distrust", membership.localHealthFactor());
        node.set("self", word(membership.self(), health));
        ArrayNode members = node.putArray("members");
        for (MemberSnapshot memberSnapshot : seen) {
            ObjectNode o = word(memberSnapshot.word(), health);
            o.put("since", startedUnix + (long) memberSnapshot.since())
                    .put("by", names.getOrDefault(memberSnapshot.by(), memberSnapshot.by()));
            members.add(o);
        }
        node.putObject("costs")
                .put("datagrams_sent", costs.sent)
                .put("bytes_sent", costs.sentBytes)
                .put("datagrams_received", costs.received)
                .put("bytes_received", costs.receivedBytes)
                .put("turned_away", costs.turnedAway)
                .put("busy_ms", costs.busyNanos / 1_000_000)
                .put("up_ms", (long) now);
        return node.toString();
    }

    private static ObjectNode word(MemberUpdate update, Map<String, MemberAttribute> health) {
        ObjectNode o = JSON.createObjectNode();
        o.put("name", update.identity().name())
                .put("address", update.identity().address().toString())
                .put("zone", update.identity().zone());
        o.put("region", update.identity().region())
                .put("status", update.status().name())
                .put("start", update.incarnation().startedAtMillis());
        o.put("incarnation", update.incarnation().counter());
        MemberAttribute attribute = health.get(update.identity().name());
        int level = attribute == null ? 0 : attribute.value()[0];
        // Members say it when it changes: who has never been anything else has said nothing.
        boolean known = level >= 0 && level < LoopHealth.Level.values().length;
        o.put("loop", known ? LoopHealth.Level.values()[level].name() : "unknown");
        return o;
    }
}
