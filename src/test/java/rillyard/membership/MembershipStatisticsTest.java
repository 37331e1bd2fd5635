package rillyard.membership;

import static org.assertj.core.api.Assertions.assertThat;
import static org.junit.jupiter.api.Assumptions.assumeTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.condition.EnabledIfSystemProperty;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The figures of membership on a virtual clock in docs/PERFORMANCE.md; asked for by rillyard.figures, the members. */
@EnabledIfSystemProperty(named = "rillyard.figures", matches = "\\d+")
class MembershipStatisticsTest {
    private static final double S = 1_000;
    private static final int KILLED = 7;

    /** Loss, with as much doubled and up to 40 ms late where there is any. */
    @ParameterizedTest
    @ValueSource(doubles = {0, 0.05, 0.3})
    void figures(double loss) {
        assumeTrue(loss >= Double.parseDouble(System.getProperty("rillyard.figures.loss", "0")));
        int members = Integer.getInteger("rillyard.figures");
        double seconds = Integer.getInteger("rillyard.figures.seconds", 600);
        for (long seed = 1; seed <= Integer.getInteger("rillyard.figures.seeds", 3); seed++) {
            VirtualFleet fleet = new VirtualFleet(seed, members);
            double joined = fleet.untilAgreed(240 * S);
            fleet.run(5 * S);
            fleet.loss = loss;
            fleet.doubled = loss;
            fleet.delay = loss > 0 ? 40 : 2;
            fleet.sent = 0;
            fleet.sentBytes = 0;
            fleet.run(seconds * S);
            double share = seconds * members;
            int before = fleet.deaths.size();
            long of = fleet.deaths.stream().distinct().count();
            String cost = String.format(
                    Locale.ROOT,
                    "%.1f datagrams, %.0f bytes a second a member",
                    fleet.sent / share,
                    fleet.sentBytes / share);
            fleet.kill(KILLED);
            double held = fleet.until(60 * S, () -> fleet.allHold("m" + KILLED, MemberStatus.DEAD));
            System.out.printf(
                    Locale.ROOT,
                    "%d members, loss %.2f, seed %d: joined %.1f s, false deaths %d of %d members in %.0f s, killed one held"
                            + " dead by all after %.2f s, %s%n",
                    members,
                    loss,
                    seed,
                    joined / S,
                    before,
                    of,
                    seconds,
                    held / S,
                    cost);
            assertThat(held).as("all came to hold it dead").isNotNegative();
        }
    }

    /** One member in a fleet of so many that rests, all others played: what it costs it. */
    @Test
    void alone() {
        Membership first = lone(); // loads classes, which would count as the second's memory
        assertThat(lone().present()).isEqualTo(first.present());
    }

    private static Membership lone() {
        int members = Integer.getInteger("rillyard.figures");
        long before = used();
        SplittableRandom random = new SplittableRandom(1);
        ArrayList<Message> sent = new ArrayList<>();
        ArrayList<MemberAddress> to = new ArrayList<>();
        Membership.Output out = new Membership.Output() {
            @Override
            public void send(MemberAddress at, Message message) {
                to.add(at);
                sent.add(MessageCodec.decode(MessageCodec.encode(message, MessageCodec.MAX_BYTES)));
            }

            @Override
            public void onMembershipEvent(MembershipEvent event) {}
        };
        Membership one =
                new Membership(MembershipSettings.DEFAULT, other(0).identity(), START, List.of(), random.split(), out);
        for (int i = 1; i < members; i++) {
            one.onMessage(
                    0,
                    other(i).identity().address(),
                    new Message(Message.Kind.NEWS, 0, 0, other(i), "", null, List.of()));
        }
        sent.clear();
        sent.trimToSize();
        to.clear();
        to.trimToSize();
        double now = 0;
        long nanos = 0;
        double timed = 0;
        for (int step = 0;
                step < 90_000;
                step++) { // 75 minutes, until the words of the join are told, the last ten of which count
            now += 50;
            List<Message> questions = List.copyOf(sent);
            List<MemberAddress> asked = List.copyOf(to);
            sent.clear();
            to.clear();
            long from = System.nanoTime();
            for (int q = 0; q < questions.size(); q++) {
                if (questions.get(q).kind() == Message.Kind.PING) {
                    MemberUpdate who = other(asked.get(q).ip() - IP);
                    one.onMessage(
                            now,
                            asked.get(q),
                            MessageCodec.decode(MessageCodec.encode(
                                    new Message(
                                            Message.Kind.ACK,
                                            questions.get(q).sequence(),
                                            questions.get(q).digest(),
                                            who,
                                            "m0",
                                            null,
                                            List.of()),
                                    MessageCodec.MAX_BYTES)));
                }
            }
            if (step % 10 == 0) { // it is probed as often as it probes
                MemberUpdate who = other(1 + random.nextInt(members - 1));
                one.onMessage(
                        now,
                        who.identity().address(),
                        MessageCodec.decode(MessageCodec.encode(
                                new Message(Message.Kind.PING, step, one.digest(), who, "m0", null, List.of()),
                                MessageCodec.MAX_BYTES)));
            }
            one.onTick(now);
            if (step >= 78_000) {
                nanos += System.nanoTime() - from;
                timed += 50;
            }
        }
        sent.clear();
        to.clear();
        System.out.printf(
                Locale.ROOT,
                "one of %d at rest: %.4f %% of a core, %.2f MiB; %d present%n",
                members,
                nanos / timed / 1e4,
                (used() - before) / 1048576.0,
                one.present());
        assertThat(one.present()).isEqualTo(members);
        return one;
    }

    private static final int IP = 0x0A000000;
    private static final long START = 1_700_000_000_000L;

    private static MemberUpdate other(int i) {
        return new MemberUpdate(
                new MemberIdentity("m" + i, new MemberAddress(IP + i, 4_000), i % 3, 0),
                new Incarnation(START, 0),
                MemberStatus.ALIVE,
                MemberUpdate.by("m" + i));
    }

    private static long used() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
