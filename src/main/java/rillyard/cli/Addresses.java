package rillyard.cli;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import picocli.CommandLine.ITypeConverter;
import picocli.CommandLine.TypeConversionException;

/** Reads {@code IP:port}; names are not looked up. */
final class Addresses implements ITypeConverter<InetSocketAddress> {
  @Override
  public InetSocketAddress convert(String s) {
    int colon = s.lastIndexOf(':');
    byte[] ip = colon < 0 ? null : NetUtil.createByteArrayFromIpAddressString(s.substring(0, colon));
    try {
      int port = ip == null ? -1 : Integer.parseInt(s.substring(colon + 1));
      if (port >= 0 && port <= 65_535) {
        return new InetSocketAddress(InetAddress.getByAddress(ip), port);
      }
    } catch (NumberFormatException | UnknownHostException e) {
      // told below
    }
    throw new TypeConversionException("'" + s + "', expected IP:port, as 127.0.0.1:9000");
  }
}
