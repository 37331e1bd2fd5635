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

/**
 * One simulated host: its listener, connections, work queue and active faults. Confined to one event loop; other
 * threads call {@link #start}, {@link #loop} and {@link #address} only.
 */
final class HostServer {
    private static final long IDLE_SWEEP_MILLIS = 100;
    private static final long BIND_RETRY_NANOS = 50_000_000;

    final HostSpec spec;
    final SplittableRandom random;
    final ActiveFaults faults;
    final HostQueue queue;
    final Scheduler scheduler;
    private final EventLoop loop;
    private final HostContext context;
    private final Set<HostConnection> connections = new LinkedHashSet<>();
    private Channel listener;
    private InetSocketAddress address;
    private boolean up;
    private String loadReport;
    private long loadMeasuredAtNanos;
    private Future<?> idleSweep;

    HostServer(HostSpec spec, EventLoop loop, HostContext context, long seed) {
        this.spec = spec;
        this.loop = loop;
        this.context = context;
        this.scheduler = new EventLoopScheduler(loop);
        this.random = new SplittableRandom(seed);
        this.faults = new ActiveFaults(random.split());
        this.queue = new HostQueue(spec, scheduler);
    }

    /** Returns the event loop that the host is confined to. */
    EventLoop loop() {
        return loop;
    }

    /** Returns the cluster that the host belongs to. */
    HostContext context() {
        return context;
    }

    /** Returns the address that the host listens on; a restarted host keeps it. */
    InetSocketAddress address() {
        return address;
    }

    /**
     * Starts to listen on a free port or the given one. Must not be called on the event loop.
     *
     * @param warmingUp whether the host starts with reduced capacity
     * @throws Exception if the bind fails
     */
    void start(InetSocketAddress bindAddress, boolean warmingUp) throws Exception {
        listener = listen(bindAddress).sync().channel();
        address = (InetSocketAddress) listener.localAddress();
        loop.submit(() -> onListening(warmingUp)).sync();
    }

    /** Starts, warming up, on an address that this or another host used before; retries while the port is in use. */
    void restart(InetSocketAddress bindAddress) {
        address = bindAddress;
        listen(bindAddress).addListener((ChannelFuture future) -> {
            if (future.isSuccess()) {
                listener = future.channel();
                onListening(true);
                context.onRestarted(this);
            } else {
                // A connection of the previous host still occupies the port.
                scheduler.scheduleAfter(BIND_RETRY_NANOS, () -> restart(bindAddress));
            }
        });
    }

    private ChannelFuture listen(InetSocketAddress bindAddress) {
        return new ServerBootstrap()
                .group(loop)
                .channel(EventLoops.serverChannelType())
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, 1_024)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        onAccepted(channel);
                    }
                })
                .bind(bindAddress);
    }

    private void onListening(boolean warmingUp) {
        up = true;
        queue.onStarted(warmingUp);
        if (idleSweep == null) {
            idleSweep = loop.scheduleAtFixedRate(
                    this::closeExpired, IDLE_SWEEP_MILLIS, IDLE_SWEEP_MILLIS, TimeUnit.MILLISECONDS);
        }
        context.requestLog()
                .append(new HostEvent(
                        UnixClock.micros(),
                        spec.id(),
                        HostEvent.Kind.STARTED,
                        null,
                        spec.cores() * spec.speed(),
                        warmingUp ? spec.initialCapacityShare() : 1,
                        warmingUp ? (long) (1_000 * spec.warmUpMillis()) : 0));
    }

    private void onAccepted(SocketChannel channel) {
        boolean full = connections.size() >= spec.connections();
        HostConnection connection = new HostConnection(this, channel, full);
        connections.add(connection);
        channel.closeFuture().addListener(f -> connections.remove(connection));
        channel.pipeline().addLast(new HostConnection.FirstByte(connection), new HttpRequestDecoder(), connection);
        if (!full && spec.handshakeWorkMillis() > 0) {
            queue.enqueueUnbounded(handshake());
        }
        if (faults.has(HostFault.Kind.PAUSE)) {
            channel.config().setAutoRead(false);
        }
    }

    private HostQueue.Job handshake() {
        return new HostQueue.Job(spec.handshakeWorkMillis() * 1e6) {
            @Override
            boolean mayStart() {
                return true;
            }

            @Override
            void onFinished() {}
        };
    }

    // --- faults

    /** Begins a fault, logs it, and schedules its end if it has a duration. */
    void begin(HostFault fault) {
        context.requestLog()
                .append(new HostEvent(UnixClock.micros(), spec.id(), HostEvent.Kind.FAULT, fault.description()));
        switch (fault.kind()) {
            case PAUSE -> {
                faults.begin(fault);
                queue.pause();
                setReading(false);
            }
            case SLOW -> {
                faults.begin(fault);
                queue.setSlowdown(fault.magnitude());
            }
            case KILL -> kill(fault);
            case DRAIN -> context.onDraining(this, fault);
            default -> faults.begin(fault);
        }
        if (fault.durationMillis() > 0 && fault.kind() != HostFault.Kind.KILL && fault.kind() != HostFault.Kind.DRAIN) {
            scheduler.scheduleAfter((long) (fault.durationMillis() * 1e6), () -> end(fault));
        }
    }

    private void end(HostFault fault) {
        if (!faults.end(fault)) {
            return;
        }
        context.requestLog()
                .append(new HostEvent(UnixClock.micros(), spec.id(), HostEvent.Kind.FAULT_ENDED, fault.description()));
        if (fault.kind() == HostFault.Kind.PAUSE) {
            queue.resume();
            setReading(true);
        } else if (fault.kind() == HostFault.Kind.SLOW) {
            queue.setSlowdown(1);
        }
    }

    private void setReading(boolean enabled) {
        if (listener.isOpen()) {
            listener.config().setAutoRead(enabled);
        }
        for (HostConnection connection : connections) {
            connection.setReading(enabled);
        }
    }

    private void kill(HostFault fault) {
        if (!up) {
            return;
        }
        stop(HostEvent.Kind.KILLED);
        context.onStopped(this, fault);
    }

    /**
     * Stops the host: closes the listener, resets connections and discards running work. No effect if it is down.
     *
     * @param kind event to log
     */
    void stop(HostEvent.Kind kind) {
        if (!up) {
            return;
        }
        up = false;
        idleSweep.cancel(false);
        idleSweep = null;
        context.requestLog().append(new HostEvent(UnixClock.micros(), spec.id(), kind, null));
        listener.close();
        for (HostConnection connection : new ArrayList<>(connections)) {
            connection.kill();
        }
        queue.kill();
        faults.clear();
    }

    /** Returns whether the host is listening. */
    boolean isUp() {
        return up;
    }

    /** Closes idle connections, as a host does before it stops. */
    void closeIdle() {
        for (HostConnection connection : new ArrayList<>(connections)) {
            connection.closeIfIdle(0);
        }
    }

    /** Returns whether a connection carries a request. */
    boolean isBusy() {
        for (HostConnection connection : connections) {
            if (connection.isBusy()) {
                return true;
            }
        }
        return false;
    }

    private void closeExpired() {
        if (!faults.has(HostFault.Kind.PAUSE)) {
            for (HostConnection connection : new ArrayList<>(connections)) {
                connection.closeIfIdle((long) (spec.idleMillis() * 1e6));
            }
        }
    }

    // --- used by connections

    /** Returns the load report, at most one report period old, or null if the plan names no report fields. */
    String loadReport() {
        List<String> fields = context.plan().reportFields();
        if (fields.isEmpty()) {
            return null;
        }
        long nowNanos = scheduler.now();
        if (loadReport == null
                || nowNanos - loadMeasuredAtNanos >= context.plan().reportPeriodMillis() * 1e6) {
            StringBuilder out = new StringBuilder();
            for (String field : fields) {
                double value =
                        switch (field) {
                            case "inflight", "rif" -> queue.running() + queue.queued();
                            case "queue", "q" -> queue.queued();
                            case "util", "busy" -> queue.utilisation();
                            default -> 0;
                        };
                out.append(out.isEmpty() ? "" : ",").append(field).append('=');
                out.append(
                        value == Math.rint(value)
                                ? Long.toString((long) value)
                                : String.format(Locale.ROOT, "%.3f", value));
            }
            loadReport = out.toString();
            loadMeasuredAtNanos = nowNanos;
        }
        return loadReport;
    }

    /**
     * Logs the outcome of a request.
     *
     * @param startedAtNanos start on the host's clock in nanoseconds, or 0 if it never ran
     */
    void logExecution(HostRequest request, int attempt, long startedAtNanos, double workNanos, ExecutionResult result) {
        context.requestLog()
                .append(new HostExecution(
                        request.id(),
                        request.idempotencyKey(),
                        request.spec().name(),
                        spec.id(),
                        spec.cell(),
                        spec.zone(),
                        attempt,
                        UnixClock.micros(request.firstByteAtNanos()),
                        startedAtNanos == 0 ? 0 : UnixClock.micros(startedAtNanos),
                        UnixClock.micros(scheduler.now()),
                        (long) (workNanos / 1_000),
                        result));
    }
}
