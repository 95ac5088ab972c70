import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** A client's connection to one address, with one request at a time. */
final class Client implements AutoCloseable {
    private final Socket socket;

    /** Status and body of an answer; the status is 0 when there was none. */
    record Answer(int status, String body) {}

    Client(String address) throws IOException {
        socket = new Socket();
        socket.setTcpNoDelay(true);
        int colon = address.lastIndexOf(':');
        socket.connect(
                new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
                1_000);
    }

    /** Sends one request on a new connection. */
    static Answer call(
            String address, String method, String path, Map<String, String> headers, String body, int timeoutMillis) {
        try (Client client = new Client(address)) {
            return client.send(method, path, headers, body, timeoutMillis);
        } catch (IOException failed) {
            return new Answer(0, failed.toString());
        }
    }

    Answer send(String method, String path, Map<String, String> headers, String body, int timeoutMillis) {
        try {
            byte[] content = body.getBytes(StandardCharsets.UTF_8);
            StringBuilder head = new StringBuilder(method + ' ' + path + " HTTP/1.1\r\n");
            if (!headers.containsKey("Host")) {
                head.append("Host: 127.0.0.1\r\n");
            }
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            if (content.length > 0) {
                head.append("Content-Type: application/json\r\n");
            }
            head.append("Content-Length: ").append(content.length).append("\r\n\r\n");
            ByteArrayOutputStream request = new ByteArrayOutputStream();
            request.write(head.toString().getBytes(StandardCharsets.US_ASCII));
            request.write(content);
            socket.getOutputStream().write(request.toByteArray());
            socket.getOutputStream().flush();
            socket.setSoTimeout(timeoutMillis);
            return read(socket.getInputStream());
        } catch (IOException failed) {
            return new Answer(0, failed.toString());
        }
    }

    private static Answer read(InputStream in) throws IOException {
        int status = Integer.parseInt(line(in).split(" ")[1]);
        int length = 0;
        for (String header = line(in); !header.isEmpty(); header = line(in)) {
            if (header.toLowerCase().startsWith("content-length:")) {
                length = Integer.parseInt(header.substring(15).trim());
            }
        }
        return new Answer(status, new String(in.readNBytes(length), StandardCharsets.UTF_8));
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                throw new IOException("connection closed without an answer");
            }
            if (c != '\r') {
                bytes.write(c);
            }
        }
        return bytes.toString(StandardCharsets.US_ASCII);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
