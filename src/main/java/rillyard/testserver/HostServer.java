package rillyard.testserver;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import rillyard.requestlog.ExecutionResult;
import rillyard.requestlog.HostEvent;
import rillyard.requestlog.HostExecution;
import rillyard.requestlog.UnixClock;
import rillyard.scheduling.EventLoopScheduler;
import rillyard.scheduling.EventLoops;
import rillyard.scheduling.Scheduler;

/** One host: its listener, its connections, its work, its faults. All of it on one event loop. */
final class HostServer {
    private static final long SWEEP_MS = 100;
    private static final long RETRY_NANOS = 50_000_000;

    final HostSpec spec;
    final SplittableRandom random;
    final ActiveFaults faults;
    final HostQueue queue;
    final Scheduler timers;
    private final EventLoop loop;
    private final HostContext context;
    private final Set<HostConnection> connections = new LinkedHashSet<>();
    private Channel listener;
    private InetSocketAddress address;
    private boolean up;
    private String load;
    private long loadAt;
    private Future<?> sweeping;

    HostServer(HostSpec spec, EventLoop loop, HostContext fleet, long seed) {
        this.spec = spec;
        this.loop = loop;
        this.context = fleet;
        this.timers = new EventLoopScheduler(loop);
        this.random = new SplittableRandom(seed);
        this.faults = new ActiveFaults(random.split());
        this.queue = new HostQueue(spec, timers);
    }

    EventLoop loop() {
        return loop;
    }

    HostContext context() {
        return context;
    }

    InetSocketAddress address() {
        return address;
    }

    /** Listens; throws what the bind throws. Not to be called on the loop. */
    void start(InetSocketAddress at, boolean cold) throws Exception {
        listener = listen(at).sync().channel();
        address = (InetSocketAddress) listener.localAddress();
        loop.submit(() -> began(cold)).sync();
    }

    /** Listens, cold, where it did before, or another did that has stopped; to be called on the loop. */
    void restart(InetSocketAddress at) {
        address = at;
        listen(at).addListener((ChannelFuture future) -> {
            if (future.isSuccess()) {
                listener = future.channel();
                began(true);
                context.restarted(this);
            } else {
                // The port is held by a connection that is not over yet.
                timers.scheduleAfter(RETRY_NANOS, () -> restart(at));
            }
        });
    }

    private ChannelFuture listen(InetSocketAddress at) {
        return new ServerBootstrap()
                .group(loop)
                .channel(EventLoops.listening())
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, 1_024)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        accepted(channel);
                    }
                })
                .bind(at);
    }

    private void began(boolean cold) {
        up = true;
        queue.started(cold);
        if (sweeping == null) {
            sweeping = loop.scheduleAtFixedRate(this::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
        }
        context.ledger()
                .append(new HostEvent(
                        UnixClock.micros(),
                        spec.id(),
                        HostEvent.Kind.STARTED,
                        null,
                        spec.cores() * spec.speed(),
                        cold ? spec.initialCapacityShare() : 1,
                        cold ? (long) (1_000 * spec.warmUpMs()) : 0));
    }

    private void accepted(SocketChannel channel) {
        boolean full = connections.size() >= spec.connections();
        HostConnection connection = new HostConnection(this, channel, full);
        connections.add(connection);
        channel.closeFuture().addListener(f -> connections.remove(connection));
        channel.pipeline().addLast(new HostConnection.FirstByte(connection), new HttpRequestDecoder(), connection);
        if (!full && spec.handshakeWorkMs() > 0) {
            queue.force(handshake());
        }
        if (faults.has(HostFault.Kind.PAUSE)) {
            channel.config().setAutoRead(false);
        }
    }

    private HostQueue.Job handshake() {
        return new HostQueue.Job(spec.handshakeWorkMs() * 1e6) {
            @Override
            boolean starts() {
                return true;
            }

            @Override
            void finished() {}
        };
    }

    // --- faults; all on the loop

    void begin(HostFault fault) {
        context.ledger().append(new HostEvent(UnixClock.micros(), spec.id(), HostEvent.Kind.FAULT, fault.words()));
        switch (fault.kind()) {
            case PAUSE -> {
                faults.begin(fault);
                queue.pause();
                reading(false);
            }
            case SLOW -> {
                faults.begin(fault);
                queue.slow(fault.size());
            }
            case KILL -> kill(fault);
            case DRAIN -> context.draining(this, fault);
            default -> faults.begin(fault);
        }
        if (fault.forMs() > 0 && fault.kind() != HostFault.Kind.KILL && fault.kind() != HostFault.Kind.DRAIN) {
            timers.scheduleAfter((long) (fault.forMs() * 1e6), () -> end(fault));
        }
    }

    private void end(HostFault fault) {
        if (!faults.end(fault)) {
            return;
        }
        context.ledger()
                .append(new HostEvent(UnixClock.micros(), spec.id(), HostEvent.Kind.FAULT_ENDED, fault.words()));
        if (fault.kind() == HostFault.Kind.PAUSE) {
            queue.resume();
            reading(true);
        } else if (fault.kind() == HostFault.Kind.SLOW) {
            queue.slow(1);
        }
    }

    private void reading(boolean on) {
        if (listener.isOpen()) {
            listener.config().setAutoRead(on);
        }
        for (HostConnection connection : connections) {
            connection.reading(on);
        }
    }

    private void kill(HostFault fault) {
        if (!up) {
            return;
        }
        down(HostEvent.Kind.KILLED);
        context.stopped(this, fault);
    }

    /** Ends the host: its listener, its connections, what it runs. */
    void down(HostEvent.Kind how) {
        if (!up) {
            return;
        }
        up = false;
        sweeping.cancel(false);
        sweeping = null;
        context.ledger().append(new HostEvent(UnixClock.micros(), spec.id(), how, null));
        listener.close();
        for (HostConnection connection : new ArrayList<>(connections)) {
            connection.kill();
        }
        queue.kill();
        faults.clear();
    }

    boolean up() {
        return up;
    }

    /** Ends the connections that carry nothing, as a host does that is about to stop. */
    void closeIdle() {
        for (HostConnection connection : new ArrayList<>(connections)) {
            connection.closeIfIdle(0);
        }
    }

    boolean busy() {
        for (HostConnection connection : connections) {
            if (connection.busy()) {
                return true;
            }
        }
        return false;
    }

    private void sweep() {
        if (!faults.has(HostFault.Kind.PAUSE)) {
            for (HostConnection connection : new ArrayList<>(connections)) {
                connection.closeIfIdle((long) (spec.idleMs() * 1e6));
            }
        }
    }

    // --- what connections need

    /** The load report, made anew when the last is as old as it may be; null where there is none. */
    String load() {
        List<String> fields = context.plan().reportFields();
        if (fields.isEmpty()) {
            return null;
        }
        long now = timers.now();
        if (load == null || now - loadAt >= context.plan().reportPeriodMs() * 1e6) {
            StringBuilder out = new StringBuilder();
            for (String f : fields) {
                double v =
                        switch (f) {
                            case "inflight", "rif" -> queue.running() + queue.queued();
                            case "queue", "q" -> queue.queued();
                            case "util", "busy" -> queue.utilisation();
                            default -> 0;
                        };
                out.append(out.isEmpty() ? "" : ",").append(f).append('=');
                out.append(v == Math.rint(v) ? Long.toString((long) v) : String.format(Locale.ROOT, "%.3f", v));
            }
            load = out.toString();
            loadAt = now;
        }
        return load;
    }

    /** Writes down what became of a request; {@code startedAt} 0 if it never ran. */
    void ran(HostRequest request, int attempt, long startedAt, double workNanos, ExecutionResult result) {
        context.ledger()
                .append(new HostExecution(
                        request.id(),
                        request.idempotencyKey(),
                        request.spec().name(),
                        spec.id(),
                        spec.cell(),
                        spec.zone(),
                        attempt,
                        UnixClock.micros(request.firstByte()),
                        startedAt == 0 ? 0 : UnixClock.micros(startedAt),
                        UnixClock.micros(timers.now()),
                        (long) (workNanos / 1_000),
                        result));
    }
}
