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

/** This process's membership of the fleet: one socket, one thread, the decisions of {@link Membership}. */
public final class FleetMember implements AutoCloseable {
    /** Steps of its clock in an interval. */
    private static final double STEPS = 10;

    /** What this process says of its loop holds for so long, and is said again in time. */
    private static final double HEALTH_LASTS_MS = 600_000;

    /** What is known is copied so often (ms) for those who follow facts. */
    private static final double COPY_MS = 200;

    /**
     * What this member held a moment ago.
     *
     * @param self its name
     * @param present names of all who are present, this one's among them; empty before the first copy
     * @param followed facts of the kinds that are followed, by owner
     * @param at nanoseconds of this JVM's clock when it held them
     */
    public record FleetSnapshot(
            String self, List<String> present, Map<Integer, Map<String, MemberAttribute>> followed, long at) {
        /** The facts of a kind that is followed. */
        public Map<String, MemberAttribute> attributes(int kind) {
            return followed.getOrDefault(kind, Map.of());
        }

        /** How old a fact of these is by now (ms), also where this member has ended and holds nothing newer. */
        public double age(MemberAttribute attribute) {
            return attribute.ageMillis() + (System.nanoTime() - at) / 1e6;
        }
    }

    private final FleetConfig settings;
    private final PrintStream log;
    private final MultiThreadIoEventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("fleet", true), NioIoHandler.newFactory());
    private final long startedUnix = System.currentTimeMillis();
    private final long startedAt = System.nanoTime();
    private final Membership member;
    private final MembershipEventLog history;
    private final DatagramCipher seal;
    private volatile Channel channel; // set on the loop, before the first datagram
    private final ResourceUsage costs = new ResourceUsage();
    private final LoopHealth loopHealth = new LoopHealth();
    private LoopHealth.Level said = LoopHealth.Level.WELL;
    private double nextStep = Double.NaN;
    private int[] followed = {};
    private double copiedAt = Double.NEGATIVE_INFINITY;
    private volatile FleetSnapshot known;

    /**
     * Makes one; {@link #start} has it join.
     *
     * @throws IOException if its history can't be written
     */
    public FleetMember(FleetConfig settings, long seed, PrintStream log) throws IOException {
        this.settings = settings;
        this.log = log;
        this.history = settings.history() == null
                ? null
                : new MembershipEventLog(settings.history(), settings.identity().name());
        this.seal = settings.keys().isEmpty()
                ? null
                : new DatagramCipher(
                        settings.keys(),
                        settings.identity().address(),
                        startedUnix,
                        settings.member().maxMembers());
        this.member = new Membership(
                settings.member(),
                settings.identity(),
                startedUnix,
                settings.seeds(),
                new SplittableRandom(seed),
                new SocketOutput());
        this.known = new FleetSnapshot(settings.identity().name(), List.of(), Map.of(), startedAt);
    }

    /** Facts of these kinds are to be found in {@link #known}; to be called before {@link #start}. */
    public void follow(int... kinds) {
        followed = kinds.clone();
    }

    /** What it knew a moment ago; may be asked on any thread. */
    public FleetSnapshot snapshot() {
        return known;
    }

    /**
     * Says something of this member to all, as {@link Membership#setAttribute}; may be called on any thread once started, and says
     * nothing once this member has ended.
     *
     * @param again whether it is said again in time; else it ends by itself
     */
    public void setAttribute(int kind, byte[] value, double lasts, boolean again) {
        try {
            channel.eventLoop().execute(() -> {
                if (!member.setAttribute(now(), kind, value, lasts, again)) {
                    log.println("rillyard: fleet: a fact of kind " + kind + " is not said: too many of them");
                }
            });
        } catch (RejectedExecutionException e) {
            // it has left, while the proxy beside it still drains
        }
    }

    private void copy(double now) {
        if (followed.length == 0 || now - copiedAt < COPY_MS) {
            return;
        }
        copiedAt = now;
        Map<Integer, Map<String, MemberAttribute>> facts = new HashMap<>();
        for (int kind : followed) {
            facts.put(kind, member.attributes(now, kind));
        }
        List<String> present = new ArrayList<>(List.of(settings.identity().name()));
        member.others().stream()
                .filter(update -> update.status().present())
                .forEach(memberUpdate -> present.add(memberUpdate.identity().name()));
        known = new FleetSnapshot(
                settings.identity().name(), List.copyOf(present), Map.copyOf(facts), System.nanoTime());
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
                    // A byte more than any datagram may have: a longer one is seen to be longer, and turned away.
                    .option(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(MessageCodec.MAX_BYTES + 1))
                    .handler(new DatagramHandler())
                    .bind(settings.listen())
                    .sync();
        } catch (Exception e) {
            close();
            throw new IOException("fleet: can't listen on " + settings.listen() + ": " + e.getMessage(), e);
        }
        if (settings.admin() != null) {
            try {
                new MemberAdminServer(() -> MembershipView.of(member, startedUnix, now(), costs))
                        .listen(group, settings.admin());
            } catch (IOException e) {
                close();
                throw e;
            }
        }
        if (history != null) {
            history.line(
                    startedUnix,
                    new MembershipEvent(
                            0, member.self(), null, settings.identity().name()));
        }
        long step = (long) (settings.member().probeIntervalMillis() / STEPS * 1e6);
        channel.eventLoop().scheduleWithFixedDelay(this::tick, 0, step, TimeUnit.NANOSECONDS);
    }

    private double now() {
        return (System.nanoTime() - startedAt) / 1e6 * settings.clockRate();
    }

    private void tick() {
        long from = System.nanoTime();
        try {
            double now = now();
            double step = settings.member().probeIntervalMillis() / STEPS;
            loopHealth.step(now, Double.isNaN(nextStep) ? 0 : Math.max(0, now - nextStep));
            nextStep = now + step;
            if (loopHealth.level() != said) {
                said = loopHealth.level();
                member.setAttribute(now, LoopHealth.FACT, new byte[] {(byte) said.ordinal()}, HEALTH_LASTS_MS, true);
            }
            member.onTick(now);
            copy(now);
        } catch (RuntimeException e) {
            // Guards against a periodic task that ends for ever with its first exception.
            log.println("rillyard: fleet: a step failed: " + e);
        }
        costs.busySince(from);
    }

    /** Says that it goes, as far as it can, and ends. */
    @Override
    public void close() {
        if (channel != null) {
            channel.eventLoop().submit(() -> member.leave(now())).awaitUninterruptibly();
        }
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly();
        try {
            if (history != null) {
                history.close();
            }
        } catch (IOException e) {
            log.println("rillyard: fleet: the history could not be closed: " + e);
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
            long began = System.nanoTime();
            costs.received++;
            costs.receivedBytes += bytes.length;
            try {
                InetSocketAddress sender = packet.sender();
                if (sender.getAddress() instanceof Inet4Address) {
                    MemberAddress from = FleetConfigReader.endpoint(sender);
                    member.onMessage(now(), from, MessageCodec.decode(seal == null ? bytes : seal.open(from, bytes)));
                }
            } catch (IllegalArgumentException e) {
                if (costs.turnedAway++ % 1_000 == 0) {
                    log.println("rillyard: fleet: datagram from " + packet.sender() + " turned away, "
                            + costs.turnedAway + " so far: " + e.getMessage());
                }
            }
            costs.busySince(began);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            if (!(cause instanceof IOException)) { // a port that is unreachable somewhere is told here, and is none
                log.println("rillyard: fleet: a datagram could not be taken: " + cause);
            }
        }
    }

    private final class SocketOutput implements Membership.Output {
        @Override
        public void send(MemberAddress to, Message message) {
            byte[] plain = MessageCodec.encode(message, settings.member().datagramBytes());
            ByteBuf bytes = Unpooled.wrappedBuffer(seal == null ? plain : seal.seal(plain));
            costs.sent++;
            costs.sentBytes += bytes.readableBytes();
            channel.writeAndFlush(new DatagramPacket(bytes, FleetConfigReader.address(to)), channel.voidPromise());
        }

        @Override
        public void onMembershipEvent(MembershipEvent event) {
            if (history == null) {
                return;
            }
            try {
                history.line(startedUnix + (long) event.at(), event);
            } catch (IOException e) {
                log.println("rillyard: fleet: a line of the history is lost: " + e);
            }
        }
    }
}
