package rillyard.cli;

import java.net.InetSocketAddress;
import picocli.CommandLine.ITypeConverter;
import picocli.CommandLine.TypeConversionException;

/** Converts the text {@code IP:port} to a socket address; host names are not resolved. */
final class SocketAddressConverter implements ITypeConverter<InetSocketAddress> {
    @Override
    public InetSocketAddress convert(String text) {
        InetSocketAddress address = rillyard.config.SocketAddresses.parse(text);
        if (address != null) {
            return address;
        }
        throw new TypeConversionException("'" + text + "', expected IP:port, such as 127.0.0.1:9000");
    }
}
