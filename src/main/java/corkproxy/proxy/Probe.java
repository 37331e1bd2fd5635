package corkproxy.proxy;

import corkproxy.balancer.LoadReport;
import corkproxy.balancer.Result;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
import java.nio.charset.StandardCharsets;

/** A check of a host, which tells its load where the deployment has reports. */
final class Probe extends UpstreamCall {
  /** How long (ms) a probe is waited for; the simulator's hosts use the same. */
  private static final double TIMEOUT_MS = 250;

  private static final int MAX_REPORT = 1_024;

  private final Dispatcher dispatcher;
  private final boolean reports;
  private final double sentAt;
  private final StringBuilder text = new StringBuilder();
  private Future<?> timeout;
  private LoadReport report;
  private boolean over;

  Probe(Dispatcher dispatcher, Host host, boolean reports) {
    super(host);
    this.dispatcher = dispatcher;
    this.reports = reports;
    this.sentAt = dispatcher.now();
  }

  void start() {
    timeout = dispatcher.later(TIMEOUT_MS, () -> finish(Result.TIMEOUT));
    dispatcher.upstreams().start(this);
  }

  @Override
  ChannelFuture write(Channel channel) {
    FullHttpRequest r =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1, HttpMethod.GET, reports ? "/_load" : "/ping", Unpooled.EMPTY_BUFFER);
    r.headers().set(HttpHeaderNames.HOST, "api.internal");
    return channel.writeAndFlush(r);
  }

  @Override
  void notSent() {
    finish(Result.CONNECT_FAILED);
  }

  @Override
  void moot() {
    finish(Result.CANCELLED);
  }

  @Override
  void head(HttpResponse head) {
    report = Reports.read(head.headers().get(Headers.SERVER_LOAD));
    if (head.status().code() != 200) {
      connection().discardRest();
      finish(head.status().code() == 503 ? Result.FULL : Result.ERROR);
    }
  }

  @Override
  void content(HttpContent part) {
    if (text.length() < MAX_REPORT) {
      text.append(part.content().toString(StandardCharsets.ISO_8859_1));
    } else {
      broken();
    }
  }

  @Override
  void end() {
    if (reports && report == null) {
      report = Reports.read(text.toString());
    }
    finish(Result.OK);
  }

  @Override
  void broken() {
    finish(Result.RESET);
  }

  private void finish(Result result) {
    if (!over) {
      over = true;
      timeout.cancel(false);
      dispatcher.upstreams().end(this);
      dispatcher.probed(host, result, dispatcher.now() - sentAt, report);
    }
  }
}
