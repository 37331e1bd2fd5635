package rillyard.proxy.eventloop;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.handler.codec.http.FullHttpRequest;
import java.io.IOException;
import java.net.SocketAddress;
import java.nio.channels.SocketChannel;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;
import java.util.function.Supplier;
import rillyard.stall.StallDetector;

/**
 * Creates channels whose system calls fail or transfer few bytes, or whose methods throw, once a test enables that;
 * until then they work as usual.
 */
public final class FaultInjectingChannels extends SocketChannelFactory {
    /** A system call that can be made to fail. */
    public enum Call {
        SOCKET,
        CONNECT,
        ACCEPT
    }

    private record WriteFailure(boolean toClient, Predicate<Object> messages) {}

    private record Fault(int oneIn, Supplier<IOException> failure) {}

    /** Message of the exceptions that are thrown. */
    public static final String INJECTED = "thrown by the test";

    private static final int WRITES_PER_TURN = 16;

    private final Map<Call, AtomicInteger> calls = new EnumMap<>(Call.class);
    private final Map<Call, AtomicInteger> failures = new EnumMap<>(Call.class);
    private volatile Map<Call, Fault> faults = Map.of();
    private final BlockingQueue<Channel> accepted = new LinkedBlockingQueue<>();
    private volatile WriteFailure writeFailure;
    private volatile Throwable endOfStreamFailure;
    private volatile Error acceptError;
    private volatile int closeFailurePort = -1;
    private volatile boolean holdsWritesToClients;
    private volatile int bytesPerRead = Integer.MAX_VALUE;
    private volatile int bytesPerWrite = Integer.MAX_VALUE;

    public FaultInjectingChannels() {
        for (Call call : Call.values()) {
            calls.put(call, new AtomicInteger());
            failures.put(call, new AtomicInteger());
        }
    }

    /** Makes one in {@code oneIn} calls fail from now on. */
    public void fail(Call call, int oneIn, Supplier<IOException> failure) {
        Map<Call, Fault> changed = new EnumMap<>(Call.class);
        changed.putAll(faults);
        changed.put(call, new Fault(oneIn, failure));
        faults = changed;
    }

    /** Makes the next write of a message of this type to a client throw, in the proxy's own code. */
    public void throwOnNextWriteToClient(Class<?> messageType) {
        writeFailure = new WriteFailure(true, messageType::isInstance);
    }

    /** Makes the next write of a request of this class to a host throw; the request of the watch isn't affected. */
    public void throwOnNextWriteToHost(String requestClass) {
        writeFailure = new WriteFailure(
                false,
                message -> message instanceof FullHttpRequest request
                        && request.uri().equals("/" + requestClass));
    }

    /** Makes the next check for the end of a client's stream throw, which precedes the dispatch of a request. */
    public void throwOnNextEndOfStreamCheck() {
        throwOnNextEndOfStreamCheck(new IllegalStateException(INJECTED));
    }

    /** Makes the next check for the end of a client's stream throw this exception. */
    public void throwOnNextEndOfStreamCheck(RuntimeException failure) {
        endOfStreamFailure = failure;
    }

    /** Makes the next check for the end of a client's stream throw this error. */
    public void throwOnNextEndOfStreamCheck(Error failure) {
        endOfStreamFailure = failure;
    }

    /** Makes the next accept throw this error, which ends the event loop. */
    public void throwOnNextAccept(Error failure) {
        acceptError = failure;
    }

    /** Makes the next close of a connection to this port throw. */
    public void throwOnNextCloseTo(int port) {
        closeFailurePort = port;
    }

    /** Returns the next channel accepted from a client, or null if none is accepted within 10 s. */
    public Channel nextAccepted() throws InterruptedException {
        return accepted.poll(10, TimeUnit.SECONDS);
    }

    private void checkWrite(boolean toClient, Object message) {
        WriteFailure injected = writeFailure;
        if (injected != null
                && injected.toClient() == toClient
                && injected.messages().test(message)) {
            writeFailure = null;
            throw new IllegalStateException(INJECTED);
        }
    }

    /** Makes all calls succeed from now on. */
    public void stopFailures() {
        faults = Map.of();
    }

    /** Makes writes to clients transfer nothing, as if their send buffers were full, or ends that. */
    public void holdWritesToClients(boolean hold) {
        holdsWritesToClients = hold;
    }

    /** Limits the number of bytes that one system call reads or writes. */
    public void limitTransfers(int readBytes, int writtenBytes) {
        bytesPerRead = readBytes;
        bytesPerWrite = writtenBytes;
    }

    /** Returns the number of failed calls so far. */
    public int failures(Call call) {
        return failures.get(call).get();
    }

    private void check(Call call) throws IOException {
        Fault fault = faults.get(call);
        if (fault != null && calls.get(call).getAndIncrement() % fault.oneIn() == 0) {
            failures.get(call).incrementAndGet();
            throw fault.failure().get();
        }
    }

    @Override
    public PeekableSocketChannel newSocketChannel() {
        try {
            check(Call.SOCKET);
        } catch (IOException e) {
            throw new ChannelException("Failed to open a socket.", e); // as NioSocketChannel does
        }
        return new FaultySocketChannel();
    }

    @Override
    public PeekableSocketChannel.Server newServerChannel(StallDetector stallDetector) {
        return new FaultyServerChannel(stallDetector);
    }

    private final class FaultyServerChannel extends PeekableSocketChannel.Server {
        FaultyServerChannel(StallDetector stallDetector) {
            super(stallDetector);
        }

        /** Is called outside of the channel's own guard against exceptions. */
        @Override
        protected boolean closeOnReadError(Throwable cause) {
            if (cause == acceptError) {
                throw acceptError;
            }
            return super.closeOnReadError(cause);
        }

        @Override
        protected SocketChannel acceptSocket() throws IOException {
            if (acceptError != null) {
                throw acceptError;
            }
            check(Call.ACCEPT);
            return super.acceptSocket();
        }

        @Override
        protected PeekableSocketChannel newAcceptedChannel(SocketChannel socket, StallDetector detector) {
            FaultySocketChannel channel = new FaultySocketChannel(this, socket, detector);
            accepted.add(channel);
            return channel;
        }
    }

    private final class FaultySocketChannel extends PeekableSocketChannel {
        FaultySocketChannel() {}

        FaultySocketChannel(Channel parent, SocketChannel socket, StallDetector detector) {
            super(parent, socket, detector);
        }

        @Override
        public ChannelFuture writeAndFlush(Object message) {
            checkWrite(parent() != null, message);
            return super.writeAndFlush(message);
        }

        @Override
        public ChannelFuture close() {
            if (parent() == null && remoteAddress() != null && remoteAddress().getPort() == closeFailurePort) {
                closeFailurePort = -1;
                throw new IllegalStateException(INJECTED);
            }
            return super.close();
        }

        @Override
        public boolean isEndOfStream() {
            Throwable injected = endOfStreamFailure;
            endOfStreamFailure = null;
            if (injected instanceof Error error) {
                throw error;
            }
            if (injected instanceof RuntimeException failure) {
                throw failure;
            }
            return super.isEndOfStream();
        }

        @Override
        protected boolean doConnect(SocketAddress remote, SocketAddress local) throws Exception {
            check(Call.CONNECT);
            return super.doConnect(remote, local);
        }

        @Override
        protected int doReadBytes(ByteBuf bytes) throws Exception {
            if (bytes.writableBytes() <= bytesPerRead) {
                return super.doReadBytes(bytes);
            }
            unsafe().recvBufAllocHandle().attemptedBytesRead(bytes.writableBytes());
            return bytes.writeBytes(javaChannel(), bytesPerRead);
        }

        @Override
        protected void doWrite(ChannelOutboundBuffer pending) throws Exception {
            if (holdsWritesToClients && parent() != null) {
                return; // the next flush tries again
            }
            if (bytesPerWrite == Integer.MAX_VALUE) {
                super.doWrite(pending);
                return;
            }
            for (int i = 0; i < WRITES_PER_TURN; i++) {
                ByteBuf bytes = (ByteBuf) pending.current();
                if (bytes == null) {
                    clearOpWrite();
                    return;
                }
                pending.progress(bytes.readBytes(javaChannel(), Math.min(bytesPerWrite, bytes.readableBytes())));
                if (!bytes.isReadable()) {
                    pending.remove();
                }
            }
            incompleteWrite(true);
        }
    }
}
