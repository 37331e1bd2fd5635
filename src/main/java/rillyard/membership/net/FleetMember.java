package rillyard.membership.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.io.PrintStream;
import java.net.Inet4Address;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import rillyard.membership.LoopHealth;
import rillyard.membership.MemberAddress;
import rillyard.membership.MemberAttribute;
import rillyard.membership.Membership;
import rillyard.membership.MembershipEvent;
import rillyard.membership.Message;
import rillyard.membership.MessageCodec;

/**
 * Runs a {@link Membership} on a datagram socket and an event loop of its own.
 *
 * <p>Thread-safe where a method says so; the rest is confined to the event loop.
 */
public final class FleetMember implements AutoCloseable {
    /** Ticks in a protocol period. */
    private static final double TICKS_PER_PERIOD = 10;

    /** Time to live of the published loop health, which is renewed. */
    private static final double LOOP_HEALTH_TTL_MS = 600_000;

    /** Interval between snapshots, which are taken only if attributes are followed. */
    private static final double SNAPSHOT_PERIOD_MS = 200;

    /** Number of rejected datagrams for each log line about them. */
    private static final int REJECTIONS_PER_LOG_LINE = 1_000;

    /**
     * The members and attributes as known to this member at a recent time. Immutable.
     *
     * @param selfName the name of this member
     * @param presentNames the names of all members that are present, this one included; empty before the first snapshot
     * @param attributesByKind attributes of the followed kinds, by kind and owner
     * @param takenAtNanos when it was taken ({@link System#nanoTime})
     */
    public record FleetSnapshot(
            String selfName,
            List<String> presentNames,
            Map<Integer, Map<String, MemberAttribute>> attributesByKind,
            long takenAtNanos) {
        /** Returns the attributes of a followed kind, by owner. */
        public Map<String, MemberAttribute> attributes(int kind) {
            return attributesByKind.getOrDefault(kind, Map.of());
        }

        /** Returns the current age of an attribute of this snapshot, even if this member has ended since. */
        public double ageMillis(MemberAttribute attribute) {
            return attribute.ageMillis() + (System.nanoTime() - takenAtNanos) / 1e6;
        }
    }

    private final FleetConfig config;
    private final PrintStream log;
    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("fleet", true), NioIoHandler.newFactory());
    private final long startedUnixMillis = System.currentTimeMillis();
    private final long startedAtNanos = System.nanoTime();
    private final Membership membership;
    private final MembershipEventLog eventLog; // null if there is none
    private final DatagramCipher cipher; // null if datagrams are not sealed
    private volatile Channel channel; // set on the loop, before the first datagram
    private final ResourceUsage usage = new ResourceUsage();
    private final LoopHealth loopHealth = new LoopHealth();
    private LoopHealth.Level publishedLevel = LoopHealth.Level.WELL;
    private double nextTickAtMillis = Double.NaN;
    private int[] followedKinds = {};
    private double lastSnapshotAtMillis = Double.NEGATIVE_INFINITY;
    private volatile FleetSnapshot snapshot;

    /**
     * Creates a member that has not joined.
     *
     * @throws IOException if its event log can't be opened
     */
    public FleetMember(FleetConfig config, long seed, PrintStream log) throws IOException {
        this.config = config;
        this.log = log;
        this.eventLog = config.history() == null
                ? null
                : new MembershipEventLog(config.history(), config.identity().name());
        this.cipher = config.keys().isEmpty()
                ? null
                : new DatagramCipher(
                        config.keys(),
                        config.identity().address(),
                        startedUnixMillis,
                        config.membership().maxMembers());
        this.membership = new Membership(
                config.membership(),
                config.identity(),
                startedUnixMillis,
                config.seeds(),
                new SplittableRandom(seed),
                new SocketOutput());
        this.snapshot = new FleetSnapshot(config.identity().name(), List.of(), Map.of(), startedAtNanos);
    }

    /** Includes attributes of these kinds in snapshots; to be called before {@link #start}. */
    public void followAttributes(int... kinds) {
        followedKinds = kinds.clone();
    }

    /** Returns the latest snapshot. Thread-safe. */
    public FleetSnapshot snapshot() {
        return snapshot;
    }

    /**
     * Publishes an attribute, as {@link Membership#setAttribute}; does nothing once this member has ended. Thread-safe
     * once it has started.
     *
     * @param ttlMillis the time after which it expires unless it is renewed
     * @param renew whether it is renewed
     */
    public void setAttribute(int kind, byte[] value, double ttlMillis, boolean renew) {
        try {
            channel.eventLoop().execute(() -> {
                if (!membership.setAttribute(nowMillis(), kind, value, ttlMillis, renew)) {
                    log.println("rillyard: fleet: attribute rejected, kind=" + kind + " cause=rate limit");
                }
            });
        } catch (RejectedExecutionException ignored) {
            // this member has left, while its proxy still drains
        }
    }

    private void takeSnapshot(double nowMillis) {
        if (followedKinds.length == 0 || nowMillis - lastSnapshotAtMillis < SNAPSHOT_PERIOD_MS) {
            return;
        }
        lastSnapshotAtMillis = nowMillis;
        Map<Integer, Map<String, MemberAttribute>> attributes = new HashMap<>();
        for (int kind : followedKinds) {
            attributes.put(kind, membership.attributes(nowMillis, kind));
        }
        List<String> presentNames = new ArrayList<>(List.of(config.identity().name()));
        membership.others().stream()
                .filter(update -> update.status().isPresent())
                .forEach(update -> presentNames.add(update.identity().name()));
        snapshot = new FleetSnapshot(
                config.identity().name(), List.copyOf(presentNames), Map.copyOf(attributes), System.nanoTime());
    }

    /**
     * Binds the socket and joins.
     *
     * @throws IOException if its address can't be bound
     */
    public void start() throws IOException {
        try {
            new Bootstrap()
                    .group(group)
                    .channel(NioDatagramChannel.class)
                    // One byte more than the largest datagram, so that a longer one is recognized and rejected.
                    .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(MessageCodec.MAX_BYTES + 1))
                    .handler(new DatagramHandler())
                    .bind(config.listen())
                    .sync();
        } catch (Exception e) {
            close();
            throw new IOException("fleet: can't listen on " + config.listen() + ": " + e.getMessage(), e);
        }
        if (config.admin() != null) {
            try {
                new MemberAdminServer(
                                () -> MembershipView.toJson(membership, startedUnixMillis, nowMillis(), usage),
                                line -> log.println("rillyard: " + line))
                        .listen(group, config.admin());
            } catch (IOException e) {
                close();
                throw e;
            }
        }
        if (eventLog != null) {
            eventLog.append(
                    startedUnixMillis,
                    new MembershipEvent(
                            0, membership.self(), null, config.identity().name()));
        }
        long periodNanos = (long) (config.membership().probeIntervalMillis() / TICKS_PER_PERIOD * 1e6);
        channel.eventLoop().scheduleWithFixedDelay(this::tick, 0, periodNanos, TimeUnit.NANOSECONDS);
    }

    private double nowMillis() {
        return (System.nanoTime() - startedAtNanos) / 1e6 * config.clockRate();
    }

    private void tick() {
        long tickStartedAtNanos = System.nanoTime();
        try {
            double nowMillis = nowMillis();
            double periodMillis = config.membership().probeIntervalMillis() / TICKS_PER_PERIOD;
            loopHealth.onStep(
                    nowMillis, Double.isNaN(nextTickAtMillis) ? 0 : Math.max(0, nowMillis - nextTickAtMillis));
            nextTickAtMillis = nowMillis + periodMillis;
            if (loopHealth.level() != publishedLevel) {
                publishedLevel = loopHealth.level();
                byte[] value = {(byte) publishedLevel.code()};
                membership.setAttribute(nowMillis, LoopHealth.ATTRIBUTE_KIND, value, LOOP_HEALTH_TTL_MS, true);
            }
            membership.onTick(nowMillis);
            takeSnapshot(nowMillis);
        } catch (RuntimeException e) {
            // An exception would cancel the periodic task.
            log.println("rillyard: fleet: tick failed, cause=" + e);
        }
        usage.addBusySince(tickStartedAtNanos);
    }

    /** Announces that this member leaves and closes its socket. */
    @Override
    public void close() {
        if (channel != null) {
            channel.eventLoop().submit(() -> membership.leave(nowMillis())).awaitUninterruptibly();
        }
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly();
        try {
            if (eventLog != null) {
                eventLog.close();
            }
        } catch (IOException e) {
            log.println("rillyard: fleet: event log not closed, cause=" + e);
        }
    }

    private final class DatagramHandler extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        public void handlerAdded(ChannelHandlerContext ctx) {
            channel = ctx.channel();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, DatagramPacket packet) {
            byte[] bytes = new byte[packet.content().readableBytes()];
            packet.content().readBytes(bytes);
            long receivedAtNanos = System.nanoTime();
            usage.onReceived(bytes.length);
            try {
                InetSocketAddress sender = packet.sender();
                if (sender.getAddress() instanceof Inet4Address) {
                    MemberAddress from = FleetConfigReader.toMemberAddress(sender);
                    membership.onMessage(
                            nowMillis(), from, MessageCodec.decode(cipher == null ? bytes : cipher.open(from, bytes)));
                }
            } catch (IllegalArgumentException e) {
                onRejected(packet.sender(), e);
            }
            usage.addBusySince(receivedAtNanos);
        }

        private void onRejected(InetSocketAddress sender, IllegalArgumentException cause) {
            if (usage.rejectedDatagrams() % REJECTIONS_PER_LOG_LINE == 0) {
                log.println("rillyard: fleet: datagram rejected, sender=" + sender + " count="
                        + (usage.rejectedDatagrams() + 1) + " cause=" + cause.getMessage());
            }
            usage.onRejected();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (!(cause instanceof IOException)) { // an unreachable remote port is reported here, too
                log.println("rillyard: fleet: datagram handler failed, cause=" + cause);
            }
        }
    }

    private final class SocketOutput implements Membership.Output {
        @Override
        public void send(MemberAddress to, Message message) {
            byte[] plain = MessageCodec.encode(message, config.membership().datagramBytes());
            ByteBuf bytes = Unpooled.wrappedBuffer(cipher == null ? plain : cipher.seal(plain));
            usage.onSent(bytes.readableBytes());
            channel.writeAndFlush(
                    new DatagramPacket(bytes, FleetConfigReader.toSocketAddress(to)), channel.voidPromise());
        }

        @Override
        public void onMembershipEvent(MembershipEvent event) {
            if (eventLog == null) {
                return;
            }
            try {
                eventLog.append(startedUnixMillis + (long) event.atMillis(), event);
            } catch (IOException e) {
                log.println("rillyard: fleet: event not logged, cause=" + e);
            }
        }
    }
}
