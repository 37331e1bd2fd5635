package rillyard.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** Simulates all other members of a fleet at rest for one member, and measures the time that its work takes. */
final class SingleMemberSimulation implements Membership.Output {
    private static final int FIRST_IP = 0x0A000000;
    private static final int PORT = 4_000;
    private static final long START_UNIX_MILLIS = 1_700_000_000_000L;
    private static final double STEP_MILLIS = 50;

    /** 75 minutes, in which the updates of the join are all sent; the last ten minutes are measured. */
    private static final int STEPS = 90_000;

    private static final int FIRST_MEASURED_STEP = 78_000;

    /** Steps between two pings that the member receives, so that it is probed as often as it probes. */
    private static final int STEPS_PER_PING = 10;

    private final int members;
    private final SplittableRandom random = new SplittableRandom(1);
    private final ArrayList<Message> sent = new ArrayList<>();
    private final ArrayList<MemberAddress> receivers = new ArrayList<>();
    private final Membership member;
    private double nowMillis;
    private long busyNanos;
    private double measuredMillis;

    SingleMemberSimulation(int members) {
        this.members = members;
        this.member = new Membership(
                MembershipSettings.DEFAULT, update(0).identity(), START_UNIX_MILLIS, List.of(), random.split(), this);
    }

    Membership member() {
        return member;
    }

    double cpuPercent() {
        return busyNanos / measuredMillis / 1e4;
    }

    @Override
    public void send(MemberAddress to, Message message) {
        receivers.add(to);
        sent.add(transmit(message));
    }

    @Override
    public void onMembershipEvent(MembershipEvent event) {}

    void run() {
        join();
        for (int step = 0; step < STEPS; step++) {
            nowMillis += STEP_MILLIS;
            List<Message> pending = List.copyOf(sent);
            List<MemberAddress> pendingReceivers = List.copyOf(receivers);
            sent.clear();
            receivers.clear();
            long stepStartedAtNanos = System.nanoTime();
            for (int i = 0; i < pending.size(); i++) {
                acknowledge(pending.get(i), pendingReceivers.get(i));
            }
            if (step % STEPS_PER_PING == 0) {
                pingMember(step);
            }
            member.onTick(nowMillis);
            if (step >= FIRST_MEASURED_STEP) {
                busyNanos += System.nanoTime() - stepStartedAtNanos;
                measuredMillis += STEP_MILLIS;
            }
        }
        sent.clear();
        receivers.clear();
    }

    private void join() {
        for (int i = 1; i < members; i++) {
            MemberUpdate update = update(i);
            member.onMessage(
                    0,
                    update.identity().address(),
                    new Message(Message.Kind.GOSSIP, 0, 0, update, "", null, List.of()));
        }
        sent.clear();
        sent.trimToSize();
        receivers.clear();
        receivers.trimToSize();
    }

    private void acknowledge(Message message, MemberAddress receiver) {
        if (message.kind() == Message.Kind.PING) {
            MemberUpdate responder = update(receiver.ip() - FIRST_IP);
            Message ack = new Message(
                    Message.Kind.ACK, message.sequence(), message.digest(), responder, "m0", null, List.of());
            member.onMessage(nowMillis, receiver, transmit(ack));
        }
    }

    private void pingMember(int sequence) {
        MemberUpdate sender = update(1 + random.nextInt(members - 1));
        Message ping = new Message(Message.Kind.PING, sequence, member.digest(), sender, "m0", null, List.of());
        member.onMessage(nowMillis, sender.identity().address(), transmit(ping));
    }

    private static Message transmit(Message message) {
        return MessageCodec.decode(MessageCodec.encode(message, MessageCodec.MAX_BYTES));
    }

    private static MemberUpdate update(int index) {
        String name = "m" + index;
        return new MemberUpdate(
                new MemberIdentity(name, new MemberAddress(FIRST_IP + index, PORT), index % 3, 0),
                new Incarnation(START_UNIX_MILLIS, 0),
                MemberStatus.ALIVE,
                MemberUpdate.reporterId(name));
    }
}
