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

/** Formats a member's view of the fleet as a JSON object on one line, for {@code members --admin}. */
final class MembershipView {
    private static final ObjectMapper JSON = new ObjectMapper();

    private MembershipView() {}

    /**
     * Returns the view.
     *
     * @param startedUnixMillis the Unix time of the start of this process
     * @param nowMillis milliseconds since then
     */
    static String toJson(Membership membership, long startedUnixMillis, double nowMillis, ResourceUsage usage) {
        Map<String, MemberAttribute> loopHealth = membership.attributes(nowMillis, LoopHealth.ATTRIBUTE_KIND);
        List<MemberSnapshot> snapshots = membership.snapshot();
        Map<String, String> namesBySource = namesBySource(membership.self(), snapshots);
        ObjectNode view = JSON.createObjectNode();
        view.put("at", startedUnixMillis + (long) nowMillis)
                .put("over", membership.hasLeft())
                .put("present", membership.presentCount());
        view.put("distrust", membership.localHealthFactor());
        view.set("self", member(membership.self(), loopHealth));
        ArrayNode members = view.putArray("members");
        for (MemberSnapshot snapshot : snapshots) {
            ObjectNode member = member(snapshot.update(), loopHealth);
            member.put("since", startedUnixMillis + (long) snapshot.sinceMillis())
                    .put("by", namesBySource.getOrDefault(snapshot.source(), snapshot.source()));
            members.add(member);
        }
        addUsage(view, usage, nowMillis);
        return view.toString();
    }

    /** Returns the names of all members, keyed by the source ({@code #ID}) that stands for their reporter ids. */
    private static Map<String, String> namesBySource(MemberUpdate self, List<MemberSnapshot> snapshots) {
        Map<String, String> names = new HashMap<>();
        for (MemberSnapshot snapshot : snapshots) {
            String name = snapshot.update().identity().name();
            names.put("#" + MemberUpdate.reporterId(name), name);
        }
        names.put("#" + self.reporterId(), self.identity().name());
        return names;
    }

    private static void addUsage(ObjectNode view, ResourceUsage usage, double nowMillis) {
        view.putObject("costs")
                .put("datagrams_sent", usage.sentDatagrams())
                .put("bytes_sent", usage.sentBytes())
                .put("datagrams_received", usage.receivedDatagrams())
                .put("bytes_received", usage.receivedBytes())
                .put("turned_away", usage.rejectedDatagrams())
                .put("busy_ms", usage.busyMillis())
                .put("up_ms", (long) nowMillis);
    }

    private static ObjectNode member(MemberUpdate update, Map<String, MemberAttribute> loopHealth) {
        ObjectNode member = JSON.createObjectNode();
        member.put("name", update.identity().name())
                .put("address", update.identity().address().toString())
                .put("zone", update.identity().zone());
        member.put("region", update.identity().region())
                .put("status", update.status().name())
                .put("start", update.incarnation().startedAtMillis());
        member.put("incarnation", update.incarnation().counter());
        member.put("loop", levelName(loopHealth.get(update.identity().name())));
        return member;
    }

    /** Returns the name of the published level; members publish only changes, so one without has always been WELL. */
    private static String levelName(MemberAttribute published) {
        LoopHealth.Level level = published == null
                ? LoopHealth.Level.WELL
                : LoopHealth.Level.ofCode(published.value()[0]);
        return level == null ? "unknown" : level.name();
    }
}
