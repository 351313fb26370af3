#!/usr/bin/perl
# Stand-in of a consumer behind a slow link with a small window. It sends one
# request a line of its standard input, on one channel, and reports each answer
# as a line: status, bytes of the body, whether the body is whole, whether the
# channel ended, and the md5 of the body. It is in Perl because Node.js cannot
# set the receive buffer of a channel.
#
# Arguments: ip port bytes-per-second
use strict;
use warnings;
use Digest::MD5 qw(md5_hex);
use Socket;

my ($ip, $port, $bytes_per_second) = @ARGV;

# Bytes that the consumer's end takes in without being read.
my $window_bytes = 4096;

# Segments of an Ethernet path; those of the loopback interface are 64 kB.
my $segment_bytes = 1460;
my ($ipproto_tcp, $tcp_maxseg) = (6, 2);

my $read_period_s = 0.05;

$| = 1;
socket(my $channel, PF_INET, SOCK_STREAM, 0) or die "socket: $!";
setsockopt($channel, SOL_SOCKET, SO_RCVBUF, pack("l", $window_bytes))
  or die "setsockopt: $!";
setsockopt($channel, $ipproto_tcp, $tcp_maxseg, pack("l", $segment_bytes))
  or die "setsockopt: $!";
connect($channel, sockaddr_in($port, inet_aton($ip))) or die "connect: $!";

while (my $request = <STDIN>) {
  chomp $request;
  $request =~ s/\\r\\n/\r\n/g;
  my $sent = 0;
  $sent += syswrite($channel, $request, length($request) - $sent, $sent)
    while $sent < length $request;
  print read_answer(), "\n";
}

sub read_answer {
  my $bytes = "";
  my $is_ended = 0;
  while (!$is_ended && !is_whole($bytes, 0)) {
    my $read = sysread($channel, $bytes, $bytes_per_second * $read_period_s,
      length $bytes);
    $is_ended = 1 unless $read;
    select(undef, undef, undef, $read_period_s);
  }
  my $head_end = index($bytes, "\r\n\r\n");
  my ($status) = $bytes =~ m{^HTTP/1\.1 (\d{3})};
  my $body = $head_end < 0 ? "" : substr($bytes, $head_end + 4);
  return join " ", $status // 0, length $body,
    is_whole($bytes, $is_ended) ? 1 : 0, $is_ended, md5_hex($body);
}

# A body without a length ends with its channel.
sub is_whole {
  my ($bytes, $is_ended) = @_;
  my $head_end = index($bytes, "\r\n\r\n");
  return 0 if $head_end < 0;
  my ($length) = substr($bytes, 0, $head_end) =~ /^content-length: (\d+)/mi;
  return $is_ended unless defined $length;
  return length($bytes) - $head_end - 4 >= $length;
}
